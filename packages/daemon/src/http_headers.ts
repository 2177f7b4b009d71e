/**
 * Which headers travel on, and which end at each hop.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import { HEADERS } from "@bamboolink/types";

/** Headers as they are passed on. */
export type HeaderFields = Record<string, string | string[]>;

/** Headers that are about one connection (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
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
/** Headers that only the fleet itself may set; what a caller sends in them is dropped. */
const INTERNAL = new Set<string>([
  HEADERS.partition,
  HEADERS.fencingToken,
  HEADERS.grantExpires,
  HEADERS.forwardedBy,
  HEADERS.outcome,
  HEADERS.reason,
  HEADERS.owner,
  HEADERS.deadlineMs,
]);

/** The headers of a request or an answer that go on to the next hop. */
export function selectEndToEnd(headers: IncomingHttpHeaders): HeaderFields {
  const named = new Set(
    String(headers.connection ?? "").toLowerCase().split(",").map((name) =>
      name.trim()
    ),
  );
  return Object.fromEntries(
    Object.entries(headers).filter(([name, value]) =>
      value !== undefined && !HOP_BY_HOP.has(name) && !INTERNAL.has(name) &&
      !named.has(name)
    ),
  ) as HeaderFields;
}

/** Reads a header that may stand once; `undefined` where it is absent or repeated. */
export function readSingle(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}
