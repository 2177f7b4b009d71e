/**
 * Learns how long callers wait for the requests of a route, and with it how long one has waited already.
 *
 * @module
 */

/** Requests of a route that are remembered. */
const REMEMBERED = 200;
/** A deadline must make up this share of the remembered ones to be the usual one. */
const USUAL_SHARE = 0.2;

/**
 * The usual deadline of each route.
 *
 * A caller that was refused and comes back has the rest of its time left. Its objective counts from its
 * first try, so it is late already: taken for a new request, it would go before others that can still be
 * in time. Callers of one kind mostly begin with the same deadline, so what a request lacks to the usual
 * one is how long it has waited.
 */
export class ElapsedWaitEstimator {
  private readonly routes = new Map<string, number[]>();
  private readonly usual = new Map<string, number>();

  private constructor() {}

  /** Creates one that has seen no request. */
  static create(): ElapsedWaitEstimator {
    return new ElapsedWaitEstimator();
  }

  /** Notes a request's deadline; returns how long its caller has waited already, in milliseconds. */
  recordDeadline(route: string, deadlineMs: number): number {
    const seen = this.routes.get(route) ?? [];
    seen.push(Math.round(deadlineMs));
    this.routes.set(route, seen);
    if (seen.length >= REMEMBERED || this.usual.get(route) === undefined) {
      this.learn(route, seen);
    }
    if (seen.length >= REMEMBERED) {
      this.routes.set(route, seen.slice(REMEMBERED / 2));
    }
    return Math.max(0, (this.usual.get(route) ?? deadlineMs) - deadlineMs);
  }

  /** The longest deadline that is frequent. */
  private learn(route: string, seen: readonly number[]): void {
    const counts = new Map<number, number>();
    seen.forEach((value) => counts.set(value, (counts.get(value) ?? 0) + 1));
    const frequent = [...counts]
      .filter(([, count]) => count >= seen.length * USUAL_SHARE)
      .map(([value]) => value);
    if (frequent.length > 0) {
      this.usual.set(route, Math.max(...frequent));
    }
  }
}
