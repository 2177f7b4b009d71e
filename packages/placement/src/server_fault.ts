/**
 * Decides whether a failed response is the fault of the backend server that sent it.
 *
 * Prevents pointless retries while a service that the backend servers call rejects requests: all servers fail alike
 * then, a retry fails as the first attempt did, and its calls add to the overload that makes them fail.
 *
 * @module
 */

/** Failure share of the other servers up to which their failures count as random, as every service has some. */
const MAX_RANDOM_FAILURE_SHARE = 0.05;
/** A server that fails at least this many times as often as the others is at fault itself. */
const FAULT_FACTOR = 2;

/**
 * Whether a failure is the fault of the server, so that a retry at another one may succeed.
 *
 * @param failureShare share of the server's recent requests that failed.
 * @param others the failure shares of the other servers of its service.
 */
export function isServerFault(
  failureShare: number,
  others: readonly number[],
): boolean {
  if (others.length === 0) {
    return false;
  }
  const meanShare = others.reduce((sum, share) => sum + share, 0) /
    others.length;
  return meanShare <= MAX_RANDOM_FAILURE_SHARE ||
    failureShare >= meanShare * FAULT_FACTOR;
}
