/**
 * Names a request by what it asks.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Length of a fingerprint, in characters of six bits: two requests don't share one by chance. */
const LENGTH = 22;

/** What a request asks, whoever asks it and wherever. */
export interface RequestContent {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Names and values in turn; only the name of the virtual host counts. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
}

/**
 * A name that a request keeps when its caller sends it again: each attempt has another id, may come to another daemon,
 * and may carry other headers of its caller's making.
 */
export function fingerprintRequest(content: RequestContent): string {
  const { method, target, headers, body } = content;
  const hash = createHash("sha256");
  // Lengths keep a part that ends like the next one begins apart from it.
  [method, findHost(headers), target].forEach((part) =>
    hash.update(`${part.length}:${part}`)
  );
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest("base64url").slice(0, LENGTH);
}

function findHost(headers: readonly string[]): string {
  const at = headers.findIndex((name, index) =>
    index % 2 === 0 && name.toLowerCase() === "host"
  );
  return at < 0 ? "" : (headers[at + 1] ?? "").toLowerCase();
}
