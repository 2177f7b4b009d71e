/**
 * Matches a request against the configuration to find its service, operation and key.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import type {
  ConfigurationDocument,
  KeyRule,
  Operation,
  Service,
} from "@bamboolink/types";
import createRouter, { type HTTPMethod } from "find-my-way";
import { err, ok, type Result } from "neverthrow";

/** Maximum length of a key, in characters. */
const MAX_KEY_LENGTH = 1_024;
const STEP = "routing.match";

/** The parts of a request that determine its route. */
export interface RequestTarget {
  readonly method: string;
  /** Path with query, as in the request line. */
  readonly url: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** The service, operation and key of a request. */
export interface Match {
  readonly service: Service;
  readonly operation: Operation;
  readonly key: string;
}

interface Route {
  readonly service: Service;
  readonly operation: Operation;
}

/** Matches requests against one version of the configuration. */
export class RequestMatcher {
  private constructor(
    private readonly router: ReturnType<typeof createRouter>,
  ) {}

  /** Creates a matcher for a document that has been validated. */
  static create(document: ConfigurationDocument): RequestMatcher {
    const router = createRouter({ ignoreTrailingSlash: true });
    document.services
      .flatMap((service) =>
        service.operations.map((operation) => ({ service, operation }))
      )
      .forEach((route) => {
        router.on(
          route.operation.method as HTTPMethod,
          route.operation.path,
          () => {},
          route,
        );
      });
    return new RequestMatcher(router);
  }

  /** Matches one request; errors are `not_found` (no such operation) and `invalid` (key missing or too long). */
  match(target: RequestTarget): Result<Match, BamboolinkError> {
    const found = this.router.find(target.method as HTTPMethod, target.url);
    if (found === null) {
      return err(
        BamboolinkError.create(
          "not_found",
          "no operation covers this method and path",
          { step: STEP },
        ),
      );
    }
    const route = found.store as Route;
    const key = readKey(route.operation.key, {
      target,
      parameters: found.params,
    });
    if (key === undefined || key === "") {
      const message = `no key: expected ${describeRule(route.operation.key)}`;
      return err(BamboolinkError.create("invalid", message, { step: STEP }));
    }
    if (key.length > MAX_KEY_LENGTH) {
      const message =
        `the key has ${key.length} characters; at most ${MAX_KEY_LENGTH} are allowed`;
      return err(BamboolinkError.create("invalid", message, { step: STEP }));
    }
    return ok({ ...route, key });
  }
}

function readKey(
  rule: KeyRule,
  request: {
    target: RequestTarget;
    parameters: Readonly<Record<string, string | undefined>>;
  },
): string | undefined {
  switch (rule.from) {
    case "path":
      return request.parameters[rule.parameter];
    case "query":
      return readQuery(request.target.url, rule.parameter);
    case "header": {
      const value = request.target.headers[rule.header.toLowerCase()];
      return Array.isArray(value) ? undefined : value;
    }
  }
}

/** Reads a query parameter; `undefined` if it occurs more than once, because hosts could choose different values. */
function readQuery(url: string, parameter: string): string | undefined {
  const start = url.indexOf("?");
  const values = start < 0
    ? []
    : new URLSearchParams(url.slice(start + 1)).getAll(parameter);
  return values.length === 1 ? values[0] : undefined;
}

function describeRule(rule: KeyRule): string {
  switch (rule.from) {
    case "path":
      return `path parameter '${rule.parameter}'`;
    case "query":
      return `query parameter '${rule.parameter}', once`;
    case "header":
      return `header '${rule.header}', once`;
  }
}
