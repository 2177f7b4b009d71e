/**
 * The rate of requests that a cold backend server may get.
 *
 * @module
 */
import type { TrafficService } from "@bamboolink/types";
import type { RouterSettings } from "../ports/router_settings.ts";

/**
 * Requests per second while the limit of the service is not known, because this daemon has just started and has no
 * configuration: others, which have one, already send it requests.
 */
const UNKNOWN_LIMIT = 1;

/**
 * Returns the maximum rate for a cold backend server, in requests per second; 0 for no limit.
 *
 * @param services the services of the configuration in force; `undefined` without one.
 */
export function coldLimitOf(
  service: string,
  services: ReadonlyMap<string, TrafficService> | undefined,
  { coldRatio, coldExtra }: Pick<
    RouterSettings["bounds"],
    "coldRatio" | "coldExtra"
  >,
): number {
  if (services === undefined) {
    return UNKNOWN_LIMIT;
  }
  const perSecond = services.get(service)?.coldRequestsPerSecond;
  return perSecond === undefined
    ? 0
    : Math.max(1, Math.floor(perSecond * coldRatio + coldExtra));
}
