/**
 * Estimates how long requests of each route take at each backend server.
 *
 * Estimates are per route because backend servers of one service run both short calls and long requests. With one
 * average per server, a server that happens to run the calls has the lowest average and is sent the next ones, too,
 * until its slots are full, while the others, which run the long requests, appear slow and stay idle.
 *
 * @module
 */

/**
 * Age from which a reported time may be outdated, in milliseconds: servers are slow for some seconds after their start,
 * and while something else uses their host.
 */
const REPORT_FRESH_MS = 2_000;
/** Half-life, in milliseconds, of the excess of an outdated time over the average of the other servers. */
const EXCESS_HALF_LIFE_MS = 2_000;
/** Upper bound of an outdated excess, relative to the average of the others, so that it decays in a bounded time. */
const MAX_OUTDATED_EXCESS = 2;

interface ReportedTime {
  readonly serviceMs: number;
  /** When a request last contributed to it, in milliseconds. */
  readonly measuredAtMs: number;
}

/** The reported times of one route. The sum avoids iterating over all servers for each request. */
interface RouteEntry {
  readonly reports: Map<string, ReportedTime>;
  sumMs: number;
}

/** Service times by route and backend server, as reported by the daemons. */
export class RouteServiceTimes {
  private readonly routes = new Map<string, RouteEntry>();

  private constructor() {}

  /** Creates an instance without reports. */
  static create(): RouteServiceTimes {
    return new RouteServiceTimes();
  }

  /** Records the service time that a daemon reports for a route at its backend server. */
  record(backend: string, route: string, report: ReportedTime): void {
    const entry = this.routes.get(route) ??
      { reports: new Map<string, ReportedTime>(), sumMs: 0 };
    entry.sumMs += report.serviceMs -
      (entry.reports.get(backend)?.serviceMs ?? 0);
    entry.reports.set(backend, report);
    this.routes.set(route, entry);
  }

  /** Average service time of a route over the backend servers, in milliseconds; 0 without reports. */
  typicalMs(route: string): number {
    const entry = this.routes.get(route);
    return entry === undefined ? 0 : entry.sumMs / entry.reports.size;
  }

  /**
   * Expected service time of a route at a backend server, in milliseconds; 0 without reports. For a server that has run
   * only other routes, it is derived from its speed on these.
   */
  estimateMs(backend: string, route: string, nowMs: number): number {
    const entry = this.routes.get(route);
    const report = entry?.reports.get(backend);
    if (entry === undefined || report === undefined) {
      return this.typicalMs(route) * this.relativeServiceTimeOf(backend);
    }
    const othersMs = entry.reports.size === 1
      ? report.serviceMs
      : (entry.sumMs - report.serviceMs) / (entry.reports.size - 1);
    return decayExcess(report, { othersMs, nowMs });
  }

  /** Speed of a backend server relative to the others, over all routes; 1 without reports. */
  speedOf(backend: string): number {
    return 1 / (this.relativeServiceTimeOf(backend) || 1);
  }

  /** Mean ratio of a backend server's service times to the averages of their routes; 0 without reports. */
  private relativeServiceTimeOf(backend: string): number {
    const ratios = [...this.routes].flatMap(([route, entry]) => {
      const report = entry.reports.get(backend);
      return report === undefined
        ? []
        : [report.serviceMs / this.typicalMs(route)];
    });
    const sum = ratios.reduce((total, ratio) => total + ratio, 0);
    return ratios.length === 0 ? 0 : sum / ratios.length;
  }
}

/** Returns a reported time, reduced towards the average of the other servers once it is outdated. */
function decayExcess(
  { serviceMs, measuredAtMs }: ReportedTime,
  { othersMs, nowMs }: { othersMs: number; nowMs: number },
): number {
  const staleMs = nowMs - measuredAtMs - REPORT_FRESH_MS;
  const excessMs = serviceMs - othersMs;
  return staleMs <= 0 || excessMs <= 0
    ? serviceMs
    : othersMs + Math.min(excessMs, othersMs * MAX_OUTDATED_EXCESS) *
        0.5 ** (staleMs / EXCESS_HALF_LIFE_MS);
}
