/**
 * Selects the headers that are forwarded to the next hop.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import { HEADERS } from "@bamboolink/types";

/** Headers that are forwarded, by lower-case name. */
export type HeaderFields = Record<string, string | string[]>;

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "host",
]);
/** Headers that only the fleet may set; values from callers are dropped. */
const FLEET_HEADERS = new Set<string>([
  HEADERS.partition,
  HEADERS.fencingToken,
  HEADERS.grantExpires,
  HEADERS.forwardedBy,
  HEADERS.outcome,
  HEADERS.reason,
  HEADERS.owner,
  HEADERS.deadlineMs,
]);

/** Returns the headers of a request or response that are forwarded: neither hop-by-hop nor reserved for the fleet. */
export function selectEndToEndHeaders(
  headers: IncomingHttpHeaders,
): HeaderFields {
  const connectionHeaders = new Set(
    String(headers.connection ?? "").toLowerCase().split(",").map((name) =>
      name.trim()
    ),
  );
  return Object.fromEntries(
    Object.entries(headers).filter(([name, value]) =>
      value !== undefined && !HOP_BY_HOP_HEADERS.has(name) &&
      !FLEET_HEADERS.has(name) &&
      !connectionHeaders.has(name)
    ),
  ) as HeaderFields;
}

/** Reads a header that may occur only once; `undefined` if it is absent or repeated. */
export function readSingleHeader(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}
