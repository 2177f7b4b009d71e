/**
 * Decides whether a failure that a backend server answered is its own.
 *
 * Guards against requests being run twice while a service that they call rejects its requests: every server fails alike
 * then, the second run fails as the first did, and its calls add to the load that they fail under.
 *
 * @module
 */

/** Up to this share of failures among the other servers, a failure is taken for chance, as every service has some. */
const CHANCE_SHARE = 0.05;
/** A server that fails so many times as often as the others is at fault itself. */
const OWN_FACTOR = 2;

/**
 * Whether another server may be expected to do better.
 *
 * @param failureShare share of its recent requests that the server failed.
 * @param others the same of the other servers of its service.
 */
export function isServerFault(
  failureShare: number,
  others: readonly number[],
): boolean {
  if (others.length === 0) {
    return false;
  }
  const mean = others.reduce((sum, share) => sum + share, 0) / others.length;
  return mean <= CHANCE_SHARE || failureShare >= mean * OWN_FACTOR;
}
