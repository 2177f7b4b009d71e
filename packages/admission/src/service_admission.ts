/**
 * Decides at the daemon that a request reaches first whether any backend server of its service can still serve it.
 *
 * Designed for overload of a whole service, or of the owner of hot keys, for some seconds. Without this decision a
 * request is sent to a server, refused there and perhaps sent to the next one: each refusal costs processor time at two
 * daemons and bytes between zones while both are short.
 *
 * The decision is on the safe side: a request is refused only if every server that it may use is expected to finish it
 * too late even if nothing else had arrived there since its waits were reported. What is not known is admitted, and the
 * queue beside the server decides.
 *
 * @module
 */
import { DecayingSum } from "./decaying_sum.ts";
import { type RankWaits, waitOfRank } from "./rank_waits.ts";
import { ReturnSchedule } from "./return_schedule.ts";

/**
 * Age from which waits are ignored, in milliseconds. Daemons report twice a second, and a queue can fill or drain
 * within a second.
 */
const MAX_AGE_MS = 1_000;
/**
 * Without any report for this time, in milliseconds, a daemon admits as if it were alone: it may be cut off from the
 * others, and then what it knows no longer changes.
 */
const MAX_SILENCE_MS = 1_000;
/**
 * Share of the requests to be refused that are sent all the same, so that a recovery is noticed even if no report
 * arrives. Each costs a hop that is mostly in vain.
 */
const PROBE_SHARE = 0.02;
/**
 * Safety margin of the queues beside the servers: they count a request as on time only if it would meet its objective
 * even if it took this share of its service time longer.
 */
const OBJECTIVE_MARGIN = 0.25;
/**
 * Half-life of the time that late requests wait for others to leave slots over, in milliseconds. It is an estimate for
 * a load that continues; when the load falls, the same slots are free within a fraction of it.
 */
const LATE_WAIT_HALF_LIFE_MS = 150;
/** Half-life of the arrivals by which this daemon's share is measured, in milliseconds; load peaks last seconds. */
const ARRIVALS_HALF_LIFE_MS = 1_000;

/** A request to be decided on. */
export interface AdmissionQuery {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Remaining time to the latency objective, in milliseconds. */
  readonly objectiveRemainingMs: number;
  /** Remaining time to the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Typical service time of the route, in milliseconds; 0 if unknown. */
  readonly serviceMs: number;
  /** Daemon of the key's owner, for a service with keys. */
  readonly owner: string | undefined;
}

/** The decision on a request. */
export type AdmissionVerdict =
  | { readonly kind: "admit" }
  | {
    readonly kind: "refuse";
    /** Expected time until there is room for this rank, in milliseconds. */
    readonly waitMs: number;
    /** When the caller should come back, in milliseconds from now. */
    readonly retryAfterMs: number;
  };

/** What a daemon reports of the backend server beside it. */
export interface ServerStatus {
  readonly service: string;
  readonly acceptsRequests: boolean;
  /** Slots that requests can keep busy. */
  readonly capacity: number;
  /** Offered work relative to the capacity. */
  readonly utilization: number;
}

interface ServerState extends ServerStatus {
  readonly waits: RankWaits | undefined;
  readonly waitsMeasuredAtMs: number;
}

const ADMITTED: AdmissionVerdict = { kind: "admit" };

/** What one daemon knows of the backend servers of all services, and its decisions. */
export class ServiceAdmission {
  private readonly services = new Map<string, Map<string, ServerState>>();
  private readonly serviceByDaemon = new Map<string, string>();
  /** The server of each service that admitted the latest request: it mostly admits the next one, too. */
  private readonly latestAdmitting = new Map<string, string>();
  /** Work of this daemon's callers by resource: a service, or the owner of a key. */
  private readonly arrivals = new Map<string, DecayingSum>();
  private readonly schedule: ReturnSchedule;
  private reportedAtMs = -Infinity;

  private constructor(private readonly random: () => number) {
    this.schedule = ReturnSchedule.create(random);
  }

  /**
   * Creates an instance that knows no servers and admits all requests.
   *
   * @param random returns numbers from 0 up to 1.
   */
  static create(random: () => number): ServiceAdmission {
    return new ServiceAdmission(random);
  }

  /** Records that a report of any other daemon has arrived. */
  recordContact(nowMs: number): void {
    this.reportedAtMs = nowMs;
  }

  /** Records what a daemon reports of the backend server beside it. */
  recordStatus(daemon: string, status: ServerStatus): void {
    const known = this.find(daemon);
    const earlier = this.serviceByDaemon.get(daemon);
    if (earlier !== undefined && earlier !== status.service) {
      this.services.get(earlier)?.delete(daemon);
    }
    this.serviceByDaemon.set(daemon, status.service);
    const servers = this.services.get(status.service) ?? new Map();
    this.services.set(status.service, servers);
    servers.set(daemon, {
      waits: known?.waits,
      waitsMeasuredAtMs: known?.waitsMeasuredAtMs ?? -Infinity,
      ...status,
    });
  }

  /** Records waits at a backend server that is known, unless newer ones are; `undefined` where none are reported. */
  recordWaits(
    daemon: string,
    measured: { waits: RankWaits | undefined; measuredAtMs: number },
  ): void {
    const { waits, measuredAtMs } = measured;
    const known = this.find(daemon);
    if (known !== undefined && measuredAtMs >= known.waitsMeasuredAtMs) {
      this.services.get(known.service)!.set(daemon, {
        ...known,
        waits,
        waitsMeasuredAtMs: measuredAtMs,
      });
    }
  }

  /** Forgets daemons that are not alive, so that requests don't wait for their servers. */
  retain(isAlive: (daemon: string) => boolean): void {
    [...this.serviceByDaemon].filter(([daemon]) => !isAlive(daemon))
      .forEach(([daemon, service]) => {
        this.services.get(service)?.delete(daemon);
        this.serviceByDaemon.delete(daemon);
        this.arrivals.delete(daemon);
      });
  }

  /** Decides on a request before its first attempt. */
  decide(query: AdmissionQuery, nowMs: number): AdmissionVerdict {
    const servers = this.serversFor(query);
    // Also of refused requests: reservations are scaled by this daemon's share of what all daemons offer.
    this.arrivalsOf(resourceOf(query)).add(query.serviceMs, nowMs);
    const mayServe = nowMs - this.reportedAtMs > MAX_SILENCE_MS ||
      this.findServing(query, { servers, nowMs }) ||
      this.random() < PROBE_SHARE;
    if (mayServe) {
      return ADMITTED;
    }
    const waitMs = Math.min(
      ...[...servers.values()].filter(isUsable)
        .map((server) => lateWaitMs(server, query, nowMs)),
    );
    return {
      kind: "refuse",
      waitMs,
      retryAfterMs: this.scheduleReturn(query, { waitMs, nowMs }),
    };
  }

  /** Chooses when a caller that was refused, here or beside a server, should come back, in milliseconds from now. */
  scheduleReturn(
    query: AdmissionQuery,
    at: { waitMs: number; nowMs: number },
  ): number {
    const { waitMs, nowMs } = at;
    const { rank, remainingMs, serviceMs } = query;
    return this.schedule.reserve({
      resource: resourceOf(query),
      rank,
      waitMs,
      remainingMs,
      workMs: serviceMs,
      slots: this.ownSlots(query, nowMs),
    }, nowMs);
  }

  /** Number of reservations of refused callers that are not due yet. */
  reservationCount(nowMs: number): number {
    return this.schedule.countAt(nowMs);
  }

  private find(daemon: string): ServerState | undefined {
    const service = this.serviceByDaemon.get(daemon);
    return service === undefined
      ? undefined
      : this.services.get(service)?.get(daemon);
  }

  private serversFor(query: AdmissionQuery): ReadonlyMap<string, ServerState> {
    const { service, owner } = query;
    if (owner === undefined) {
      return this.services.get(service) ?? new Map();
    }
    const server = this.services.get(service)?.get(owner);
    return new Map(server === undefined ? [] : [[owner, server]]);
  }

  /** Whether a server may finish the request in time; also if nothing is known of any. */
  private findServing(
    query: AdmissionQuery,
    at: { servers: ReadonlyMap<string, ServerState>; nowMs: number },
  ): boolean {
    const { servers, nowMs } = at;
    const latest = servers.get(this.latestAdmitting.get(query.service) ?? "");
    if (latest !== undefined && mayFinish(latest, query, nowMs)) {
      return true;
    }
    let usableCount = 0;
    // The loop runs for each request under overload.
    for (const [daemon, server] of servers) {
      if (isUsable(server)) {
        usableCount += 1;
        if (mayFinish(server, query, nowMs)) {
          this.latestAdmitting.set(query.service, daemon);
          return true;
        }
      }
    }
    return usableCount === 0;
  }

  /** Slots that the requests of this daemon's callers use of those that may serve the request. */
  private ownSlots(query: AdmissionQuery, nowMs: number): number {
    const usable = [...this.serversFor(query).values()].filter(isUsable);
    const capacity = usable.reduce((sum, server) => sum + server.capacity, 0);
    const offered = usable.reduce(
      (sum, server) => sum + server.capacity * server.utilization,
      0,
    );
    const ownPerSecondMs = this.arrivalsOf(resourceOf(query)).perSecond(nowMs);
    const share = offered === 0 ? 1 : ownPerSecondMs / (offered * 1_000);
    return capacity * Math.min(1, share);
  }

  private arrivalsOf(resource: string): DecayingSum {
    const known = this.arrivals.get(resource) ??
      DecayingSum.create(ARRIVALS_HALF_LIFE_MS);
    this.arrivals.set(resource, known);
    return known;
  }
}

function resourceOf({ owner, service }: AdmissionQuery): string {
  return owner ?? service;
}

function isUsable({ acceptsRequests, capacity }: ServerState): boolean {
  return acceptsRequests && capacity > 0;
}

/** Whether a server may finish a request before its deadline, as far as is known. */
function mayFinish(
  server: ServerState,
  query: AdmissionQuery,
  nowMs: number,
): boolean {
  if (!isUsable(server)) {
    return false;
  }
  if (
    server.waits === undefined || nowMs - server.waitsMeasuredAtMs > MAX_AGE_MS
  ) {
    return true;
  }
  const { serviceMs, remainingMs, objectiveRemainingMs } = query;
  const onTimeMs = onTimeWaitMs(server, { rank: query.rank, nowMs });
  const isOnTime = onTimeMs + serviceMs * (1 + OBJECTIVE_MARGIN) <=
    objectiveRemainingMs;
  const waitMs = isOnTime ? onTimeMs : lateWaitMs(server, query, nowMs);
  return waitMs + serviceMs <= remainingMs;
}

/** The reported wait, less the age of the report: that much at most can have drained since. */
function onTimeWaitMs(
  { waits, waitsMeasuredAtMs }: ServerState,
  { rank, nowMs }: { rank: number; nowMs: number },
): number {
  const ageMs = Math.max(0, nowMs - waitsMeasuredAtMs);
  return waits === undefined
    ? 0
    : Math.max(0, waitOfRank(waits.onTimeMs, rank) - ageMs);
}

function lateWaitMs(
  server: ServerState,
  { rank }: Pick<AdmissionQuery, "rank">,
  nowMs: number,
): number {
  const { waits, waitsMeasuredAtMs } = server;
  if (waits === undefined) {
    return 0;
  }
  const ageMs = Math.max(0, nowMs - waitsMeasuredAtMs);
  const behindOnTimeMs = waitOfRank(waits.lateMs, rank) -
    waitOfRank(waits.onTimeMs, rank);
  return onTimeWaitMs(server, { rank, nowMs }) +
    Math.max(0, behindOnTimeMs) * 0.5 ** (ageMs / LATE_WAIT_HALF_LIFE_MS);
}
