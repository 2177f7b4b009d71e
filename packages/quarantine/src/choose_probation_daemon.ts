/**
 * Chooses the daemon at which a suspect request runs.
 *
 * @module
 */
import { createHash } from "node:crypto";

/**
 * Chooses one of the given daemons for a request by rendezvous hashing, so all daemons that have the same list choose
 * the same one. Otherwise copies of a poison request that arrive at the same time would each crash a server before the
 * first crash is known.
 *
 * @param addresses the addresses of the daemons, in any order.
 * @returns one of the addresses; undefined if there are none.
 */
export function chooseProbationDaemon(
  fingerprint: string,
  addresses: readonly string[],
): string | undefined {
  const [first] = addresses
    .map((address) => ({ address, hash: hashOf(fingerprint, address) }))
    .sort((left, right) => left.hash < right.hash ? -1 : 1);
  return first?.address;
}

function hashOf(fingerprint: string, address: string): string {
  return createHash("sha256").update(`${fingerprint} ${address}`)
    .digest("base64url");
}
