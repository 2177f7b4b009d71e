/**
 * Identifies a request by its content.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Length of a fingerprint, in characters of six bits: long enough that two requests do not collide by chance. */
const FINGERPRINT_LENGTH = 22;

/** The parts of a request that do not depend on its caller or on the daemon that receives it. */
export interface RequestContent {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Alternating names and values; only the `host` header is part of the fingerprint. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
}

/**
 * Returns a fingerprint that stays the same when the caller retries a request: each attempt has a different id, may
 * reach another daemon, and may carry other headers set by the caller.
 */
export function fingerprintRequest(content: RequestContent): string {
  const { method, target, headers, body } = content;
  const hash = createHash("sha256");
  // The length prefix prevents two different splits of the same characters from having the same hash.
  [method, findHost(headers), target].forEach((part) =>
    hash.update(`${part.length}:${part}`)
  );
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest("base64url").slice(0, FINGERPRINT_LENGTH);
}

function findHost(headers: readonly string[]): string {
  const hostIndex = headers.findIndex((name, index) =>
    index % 2 === 0 && name.toLowerCase() === "host"
  );
  return hostIndex < 0 ? "" : (headers[hostIndex + 1] ?? "").toLowerCase();
}
