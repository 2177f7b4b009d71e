/**
 * Reads the forms of a request target (RFC 9112, section 3.2).
 *
 * @module
 */

/** A target in absolute form: its authority, and its path and query. */
const ABSOLUTE_FORM = /^https?:\/\/([^/?#]*)(.*)$/is;

/** What a request is sent to. */
export class RequestTarget {
  private constructor(
    /** The authority of a target in absolute form, otherwise the `Host` header. */
    readonly host: string,
    /** Path and query as they were received. */
    readonly pathAndQuery: string,
    /** Whether the target names the host itself, so that the `Host` header must be ignored. */
    readonly isAbsolute: boolean,
  ) {}

  /**
   * Parses a request's target.
   *
   * @param host the `Host` header; empty if there is none.
   * @param target the request target as it was received.
   */
  static parse(host: string, target: string): RequestTarget {
    const absolute = ABSOLUTE_FORM.exec(target);
    if (absolute === null) {
      return new RequestTarget(host, target, false);
    }
    const [, authority = "", rest = ""] = absolute;
    const pathAndQuery = rest.startsWith("/") ? rest : `/${rest}`;
    return new RequestTarget(authority, pathAndQuery, true);
  }
}
