/**
 * Headers that pass through, and those that don't.
 *
 * @module
 */
import type { ResponseHeaders } from "./exchange.ts";

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and the framing of the body. */
const CONNECTION_HEADERS = new Set([
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

/** Selects the headers of a request that pass through, names and values in turn. */
export function selectRequestHeaders(
  raw: readonly string[],
  reserved: ReadonlySet<string>,
): string[] {
  const named = namedByConnection(raw);
  const isKept = (name: string) =>
    !CONNECTION_HEADERS.has(name) && !reserved.has(name) && !named.has(name);
  return raw.filter((_text, index) =>
    isKept(raw[index - index % 2]!.toLowerCase())
  );
}

/** Selects the headers of an answer that pass through. */
export function selectAnswerHeaders(
  headers: ResponseHeaders,
): Record<string, string | string[]> {
  const { connection } = headers;
  const named = connection === undefined ? [] : splitList(String(connection));
  return Object.fromEntries(
    Object.entries(headers).filter(([name, value]) =>
      value !== undefined && !CONNECTION_HEADERS.has(name) &&
      !named.includes(name)
    ),
  ) as Record<string, string | string[]>;
}

function namedByConnection(raw: readonly string[]): ReadonlySet<string> {
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
