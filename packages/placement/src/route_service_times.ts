/**
 * Learns how long requests of each route take at each backend server.
 *
 * The load it answers: backend servers of one service run short calls beside long requests. A server that
 * happened to run the calls had the shortest average of all and was sent the next ones, too, until its slots
 * were full, while the others, which ran the long requests, were taken for slow and rested.
 *
 * @module
 */

/**
 * A time that nobody has told anew for so long may be out of date, in milliseconds: servers are slow for some
 * seconds after their start, and while something else uses their host.
 */
const FRESH_MS = 2_000;
/** From then on half of what a server lacks to the others is forgiven in this time, in milliseconds. */
const FORGIVE_HALF_LIFE_MS = 2_000;

interface ReportedTime {
  readonly serviceMs: number;
  readonly reportedAtMs: number;
}

/** What is known of one route; the sum spares each request a look at all servers. */
interface RouteEntry {
  readonly told: Map<string, ReportedTime>;
  sumMs: number;
}

/** Service times by route and backend server, as their daemons tell them. */
export class RouteServiceTimes {
  private readonly routes = new Map<string, RouteEntry>();

  private constructor() {}

  /** Creates one that knows nothing. */
  static create(): RouteServiceTimes {
    return new RouteServiceTimes();
  }

  /** Notes what a daemon says of the requests of a route at its backend server, in milliseconds. */
  record(backend: string, route: string, told: ReportedTime): void {
    const entry = this.routes.get(route) ??
      { told: new Map<string, ReportedTime>(), sumMs: 0 };
    entry.sumMs += told.serviceMs - (entry.told.get(backend)?.serviceMs ?? 0);
    entry.told.set(backend, told);
    this.routes.set(route, entry);
  }

  /** How long a request of a route takes on average over the backend servers; 0 where none is known. */
  typicalMs(route: string): number {
    const entry = this.routes.get(route);
    return entry === undefined ? 0 : entry.sumMs / entry.told.size;
  }

  /**
   * How long a request of a route is expected to take at a backend server, in milliseconds; 0 where nothing
   * is known. A server that has run other routes only is judged by its speed at these.
   */
  estimateMs(backend: string, route: string, nowMs: number): number {
    const typicalMs = this.typicalMs(route);
    const told = this.routes.get(route)?.told.get(backend);
    if (told === undefined) {
      return typicalMs * this.slownessOf(backend);
    }
    const staleMs = Math.max(0, nowMs - told.reportedAtMs - FRESH_MS);
    const lackMs = Math.max(0, told.serviceMs - typicalMs);
    const forgiven = 1 - 0.5 ** (staleMs / FORGIVE_HALF_LIFE_MS);
    return told.serviceMs - lackMs * forgiven;
  }

  /** Times of a backend server beside the typical ones; 0 where it has run nothing. */
  private slownessOf(backend: string): number {
    const ratios = [...this.routes].flatMap(([route, entry]) => {
      const told = entry.told.get(backend);
      return told === undefined ? [] : [told.serviceMs / this.typicalMs(route)];
    });
    const sum = ratios.reduce((total, ratio) => total + ratio, 0);
    return ratios.length === 0 ? 0 : sum / ratios.length;
  }
}
