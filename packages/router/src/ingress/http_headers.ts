/**
 * Selects the HTTP headers that are forwarded.
 *
 * @module
 */
import type { ResponseHeaders } from "../backend/exchange.ts";

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and those that frame the body. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "content-length",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Bytes of the shortest encoding of a header line beside its name and value: a colon and a line break. */
const LINE_OVERHEAD_BYTES = 3;

/** The smallest size in bytes at which a request's headers can have been sent; the request line does not count. */
export function measureHeaderBytes(raw: readonly string[]): number {
  const textBytes = raw.reduce((sum, text) => sum + text.length, 0);
  return textBytes + raw.length / 2 * LINE_OVERHEAD_BYTES;
}

/**
 * Selects the headers of a request that are forwarded, as alternating names and values.
 *
 * @param reserved names in lower case of further headers that are not forwarded.
 */
export function selectRequestHeaders(
  raw: readonly string[],
  reserved: ReadonlySet<string>,
): string[] {
  const connectionOptions = findConnectionOptions(raw);
  const isForwarded = (name: string) =>
    !HOP_BY_HOP_HEADERS.has(name) && !reserved.has(name) &&
    !connectionOptions.has(name);
  return raw.filter((_text, index) =>
    isForwarded(raw[index - index % 2]!.toLowerCase())
  );
}

/** Replaces the `Host` header among alternating names and values. */
export function replaceHost(
  headers: readonly string[],
  host: string,
): string[] {
  const others = headers.filter((_text, index) =>
    headers[index - index % 2]!.toLowerCase() !== "host"
  );
  return ["host", host, ...others];
}

/** Selects the headers of a response that are forwarded. */
export function selectResponseHeaders(
  headers: ResponseHeaders,
): Record<string, string | string[]> {
  const { connection } = headers;
  const connectionOptions = connection === undefined
    ? []
    : splitList(String(connection));
  return Object.fromEntries(
    Object.entries(headers).filter(([name, value]) =>
      value !== undefined && !HOP_BY_HOP_HEADERS.has(name) &&
      !connectionOptions.includes(name)
    ),
  ) as Record<string, string | string[]>;
}

function findConnectionOptions(raw: readonly string[]): ReadonlySet<string> {
  return new Set(
    raw.flatMap((text, index) =>
      index % 2 === 0 && text.toLowerCase() === "connection"
        ? splitList(raw[index + 1]!)
        : []
    ),
  );
}

function splitList(text: string): string[] {
  return text.toLowerCase().split(",").map((name) => name.trim());
}
