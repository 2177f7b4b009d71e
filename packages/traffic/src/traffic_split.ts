/**
 * Splits the requests of a route among services by weight.
 *
 * @module
 */
import type { RouteTarget, TrafficRoute } from "@bamboolink/types";

/**
 * Smooth weighted round robin per route.
 *
 * With random choice, the shares of a route with few requests would be far off its weights; a fixed sequence keeps each
 * service within one request of its share on every daemon. The start of the sequence is random, so that daemons don't
 * send their first requests to the same service.
 */
export class TrafficSplit {
  private readonly credits = new Map<string, Map<string, number>>();

  private constructor(private readonly random: () => number) {}

  /**
   * Creates a split without history.
   *
   * @param random returns numbers from 0 up to 1.
   */
  static create(random: () => number): TrafficSplit {
    return new TrafficSplit(random);
  }

  /** Chooses the service for the next request of a route. */
  choose(route: TrafficRoute): string {
    const [first, ...others] = route.targets as [RouteTarget, ...RouteTarget[]];
    if (others.length === 0) {
      return first.service;
    }
    const credits = this.creditsFor(route);
    const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
    route.targets.forEach(({ service, weight }) =>
      credits.set(service, (credits.get(service) ?? 0) + weight)
    );
    const chosen = route.targets
      .filter(({ weight }) => weight > 0)
      .reduce(
        (best, target) =>
          creditOf(credits, target) > creditOf(credits, best) ? target : best,
        first,
      );
    credits.set(chosen.service, creditOf(credits, chosen) - total);
    return chosen.service;
  }

  /** Returns the credits of a route, which are reset when its targets change. */
  private creditsFor(route: TrafficRoute): Map<string, number> {
    const identity = `${route.name} ${JSON.stringify(route.targets)}`;
    const known = this.credits.get(identity);
    if (known !== undefined) {
      return known;
    }
    const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
    const credits = new Map(
      route.targets.map(({ service }) => [service, this.random() * total]),
    );
    this.credits.set(identity, credits);
    return credits;
  }
}

function creditOf(
  credits: ReadonlyMap<string, number>,
  target: RouteTarget,
): number {
  return credits.get(target.service) ?? 0;
}
