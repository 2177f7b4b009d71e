/**
 * Tells errors of a connection that was never made from those after which bytes may have arrived.
 *
 * @module
 */

const CONNECT_FAILURE_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Whether no byte of the request can have reached the peer. */
export function isConnectFailure(cause: unknown): boolean {
  return CONNECT_FAILURE_CODES.has(
    (cause as NodeJS.ErrnoException | null)?.code ?? "",
  );
}

/** How long a connection attempt may take, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 500;
