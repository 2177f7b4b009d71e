/**
 * Chooses where a suspect runs.
 *
 * @module
 */
import { createHash } from "node:crypto";

/**
 * Chooses one of some daemons for a request; all daemons that know the same ones choose the same. Without this, copies of
 * a lethal request that come at the same time would each end a server before the first end is known.
 */
export function chooseProbationDaemon(
  fingerprint: string,
  addresses: readonly string[],
): string | undefined {
  const [first] = addresses
    .map((address) => ({ address, rank: rankOf(fingerprint, address) }))
    .sort((left, right) => left.rank < right.rank ? -1 : 1);
  return first?.address;
}

function rankOf(fingerprint: string, address: string): string {
  return createHash("sha256").update(`${fingerprint} ${address}`)
    .digest("base64url");
}
