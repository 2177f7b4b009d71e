/**
 * Normalizes the path of a URI (RFC 3986, section 6.2.2).
 *
 * @module
 */

/** A percent-encoded octet. */
const ENCODED_OCTET = /%([0-9a-f]{2})/gi;
/** Characters that mean the same with and without percent-encoding (RFC 3986, section 2.3). */
const UNRESERVED = /[A-Za-z0-9._~-]/;

/**
 * Decodes unreserved characters and removes dot segments. Other encoded characters, slashes among them, and empty
 * segments stay: with and without them a path names different resources.
 */
export function normalizePath(path: string): string {
  return removeDotSegments(decodeUnreserved(path));
}

function decodeUnreserved(path: string): string {
  return path.replace(ENCODED_OCTET, (octet, digits: string) => {
    const character = String.fromCharCode(Number.parseInt(digits, 16));
    return UNRESERVED.test(character) ? character : octet;
  });
}

function removeDotSegments(path: string): string {
  const [, ...segments] = path.split("/");
  const kept: string[] = [];
  segments.forEach((segment, index) => {
    const isDotSegment = segment === "." || segment === "..";
    if (segment === "..") {
      kept.pop();
    }
    if (!isDotSegment) {
      kept.push(segment);
    } else if (index === segments.length - 1) {
      kept.push("");
    }
  });
  return `/${kept.join("/")}`;
}
