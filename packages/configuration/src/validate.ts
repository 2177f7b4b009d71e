/**
 * Validates a configuration document: first against the schema, then the rules that a schema can't express.
 *
 * @module
 */
import { ConfigurationDocument, type Service } from "@bamboolink/types";
import { err, ok, type Result } from "neverthrow";

/** One error in a document. */
export interface Problem {
  /** Path of the value, for example `services[0].operations[2].key`. */
  readonly path: string;
  /** The expected and the actual value. */
  readonly message: string;
}

/**
 * Validates a document.
 *
 * @param document any value, as parsed from JSON.
 * @returns the document; or all schema errors; or, if the document matches the schema, all other problems.
 */
export function validateDocument(
  document: unknown,
): Result<ConfigurationDocument, readonly Problem[]> {
  const parsed = ConfigurationDocument.safeParse(document);
  if (!parsed.success) {
    return err(parsed.error.issues.map((issue) => ({
      path: formatPath(issue.path),
      message: issue.message,
    })));
  }
  const problems = findProblems(parsed.data);
  return problems.length === 0 ? ok(parsed.data) : err(problems);
}

/** Parses and validates the text of a document; text that is not JSON is reported as one problem. */
export function parseDocument(
  text: string,
): Result<ConfigurationDocument, readonly Problem[]> {
  try {
    return validateDocument(JSON.parse(text));
  } catch (cause) {
    return err([{ path: "(document)", message: (cause as Error).message }]);
  }
}

function formatPath(path: readonly PropertyKey[]): string {
  const text = path
    .map((part) => typeof part === "number" ? `[${part}]` : `.${String(part)}`)
    .join("")
    .replace(/^\./, "");
  return text === "" ? "(document)" : text;
}

function findProblems(document: ConfigurationDocument): Problem[] {
  const zones = document.availability_zones.map((zone) => zone.name);
  return [
    ...findDuplicates(zones, {
      path: "availability_zones",
      noun: "availability zone",
    }),
    ...findDuplicates(document.services.map((service) => service.name), {
      path: "services",
      noun: "service",
    }),
    ...document.services.flatMap((service, index) =>
      findServiceProblems(service, { index, zones })
    ),
    ...findDuplicateRoutes(document),
  ];
}

function findDuplicates(
  names: readonly string[],
  context: { path: string; noun: string },
): Problem[] {
  return names.flatMap((name, index) => {
    const first = names.indexOf(name);
    const message =
      `expected each ${context.noun} once; '${name}' is already defined at ${context.path}[${first}]`;
    return first < index
      ? [{ path: `${context.path}[${index}].name`, message }]
      : [];
  });
}

function findServiceProblems(
  service: Service,
  context: { index: number; zones: readonly string[] },
): Problem[] {
  const path = `services[${context.index}]`;
  const unknownZones = service.availability_zones.flatMap((zone, index) =>
    context.zones.includes(zone) ? [] : [{
      path: `${path}.availability_zones[${index}]`,
      message: `expected one of ${context.zones.join(", ")}; found '${zone}'`,
    }]
  );
  const operations = service.operations.map((operation) => operation.name);
  const keyProblems = service.operations.flatMap((operation, index) => {
    const key = operation.key;
    const isMissing = key.from === "path" &&
      !pathParameters(operation.path).includes(key.parameter);
    return isMissing
      ? [{
        path: `${path}.operations[${index}].key.parameter`,
        message:
          `expected a parameter of the path '${operation.path}'; found '${key.parameter}'`,
      }]
      : [];
  });
  return [
    ...unknownZones,
    ...findDuplicates(operations, {
      path: `${path}.operations`,
      noun: "operation",
    }),
    ...keyProblems,
  ];
}

function pathParameters(path: string): string[] {
  return [...path.matchAll(/:([A-Za-z_]\w*)/g)].map((match) =>
    match[1] as string
  );
}

/** Reports operations with the same method and path, because the service of a request would be ambiguous. */
function findDuplicateRoutes(document: ConfigurationDocument): Problem[] {
  const routes = document.services.flatMap((service, serviceIndex) =>
    service.operations.map((operation, index) => ({
      route: `${operation.method} ${operation.path.replace(/:\w+/g, ":")}`,
      path: `services[${serviceIndex}].operations[${index}].path`,
    }))
  );
  return routes.flatMap((route, index) => {
    const first = routes.findIndex((other) => other.route === route.route);
    const message =
      `expected each method and path once; the same route is defined at ${
        routes[first]?.path
      }`;
    return first < index ? [{ path: route.path, message }] : [];
  });
}
