/**
 * A backend server of the simulation: slots, a queue and the load that its daemon reports.
 *
 * @module
 */

/** Half-life of the offered work in the reported utilization, in milliseconds; as in the router's load meter. */
const LOAD_HALF_LIFE_MS = 1_000;
/** Weight of the latest request in the moving average of the service times. */
const SERVICE_EWMA_WEIGHT = 0.1;

/** The load that the daemon beside a server reports. */
export interface SimulatedLoad {
  readonly waitMs: number;
  readonly utilization: number;
  readonly meanServiceMs: number;
  readonly measuredAtMs: number;
}

/** One backend server, which runs requests in the order of their arrival. */
export class SimulatedServer {
  private readonly freeAtMs: number[];
  private offeredMs = 0;
  private decayedAtMs = 0;
  private averageMs = 0;
  /** Work that was run, in slot milliseconds. */
  busyMs = 0;

  private constructor(
    readonly zone: number,
    readonly speed: number,
    readonly slots: number,
  ) {
    this.freeAtMs = Array.from({ length: slots }, () => 0);
  }

  /** Creates an idle server; `speed` is the work that a slot does in a millisecond. */
  static create(
    server: { zone: number; speed: number; slots: number },
  ): SimulatedServer {
    return new SimulatedServer(server.zone, server.speed, server.slots);
  }

  /** Wait of a request that arrives now, in milliseconds. */
  waitMs(nowMs: number): number {
    return Math.max(0, Math.min(...this.freeAtMs) - nowMs);
  }

  /** Runs a request; returns when it ends, or `undefined` if it would end after its deadline and is refused. */
  offer(
    request: { workMs: number; estimateMs: number; deadlineAtMs: number },
    nowMs: number,
  ): number | undefined {
    const { workMs, estimateMs, deadlineAtMs } = request;
    this.decay(nowMs);
    this.offeredMs += estimateMs / this.speed;
    const startAtMs = nowMs + this.waitMs(nowMs);
    // The server doesn't know how long the request takes, only what its kind usually takes.
    if (startAtMs + estimateMs / this.speed > deadlineAtMs) {
      return undefined;
    }
    const serviceMs = workMs / this.speed;
    const slot = this.freeAtMs.indexOf(Math.min(...this.freeAtMs));
    this.freeAtMs[slot] = startAtMs + serviceMs;
    this.busyMs += serviceMs;
    this.averageMs += SERVICE_EWMA_WEIGHT *
        (serviceMs - (this.averageMs || serviceMs)) +
      (this.averageMs === 0 ? serviceMs : 0);
    return startAtMs + serviceMs;
  }

  /** The load that its daemon reports now. */
  report(nowMs: number): SimulatedLoad {
    this.decay(nowMs);
    const offeredPerMs = this.offeredMs * Math.LN2 / LOAD_HALF_LIFE_MS;
    return {
      waitMs: this.waitMs(nowMs),
      utilization: offeredPerMs / this.slots,
      meanServiceMs: this.averageMs,
      measuredAtMs: nowMs,
    };
  }

  private decay(nowMs: number): void {
    this.offeredMs *= 0.5 ** ((nowMs - this.decayedAtMs) / LOAD_HALF_LIFE_MS);
    this.decayedAtMs = nowMs;
  }
}
