/**
 * Distinguishes failures to connect from errors after which bytes of a request may have arrived.
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

/** Whether the connection was never established, so that no byte of the request can have reached the peer. */
export function isConnectFailure(cause: unknown): boolean {
  return CONNECT_FAILURE_CODES.has(
    (cause as NodeJS.ErrnoException | null)?.code ?? "",
  );
}

/** Timeout of a connection attempt. */
export const CONNECT_TIMEOUT_MS = 500;
