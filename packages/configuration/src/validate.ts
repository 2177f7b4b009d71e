/**
 * Validation of a configuration document: shape by the schema, then what a schema can't say.
 *
 * @module
 */
import { ConfigurationDocument, type Service } from "@bamboolink/types";
import { err, ok, type Result } from "neverthrow";

/** One thing that is wrong with a document. */
export interface Problem {
  /** Where it is, for example `services[0].operations[2].key`. */
  readonly path: string;
  /** What was expected and what was found. */
  readonly message: string;
}

/**
 * Validates a document. It is accepted whole, or refused with every problem that was found.
 *
 * @param document any value, as parsed from JSON.
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

/** Parses and validates the text of a document; a text that is not JSON is one problem. */
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
      what: "availability zone",
    }),
    ...findDuplicates(document.services.map((service) => service.name), {
      path: "services",
      what: "service",
    }),
    ...document.services.flatMap((service, index) =>
      findServiceProblems(service, { index, zones })
    ),
    ...findSharedRoutes(document),
  ];
}

function findDuplicates(
  names: readonly string[],
  at: { path: string; what: string },
): Problem[] {
  return names.flatMap((name, index) => {
    const first = names.indexOf(name);
    const message =
      `expected each ${at.what} once; '${name}' stands already at ${at.path}[${first}]`;
    return first < index
      ? [{ path: `${at.path}[${index}].name`, message }]
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
    const missing = key.from === "path" &&
      !pathParameters(operation.path).includes(key.parameter);
    return missing
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
      what: "operation",
    }),
    ...keyProblems,
  ];
}

function pathParameters(path: string): string[] {
  return [...path.matchAll(/:([A-Za-z_]\w*)/g)].map((match) =>
    match[1] as string
  );
}

/** Two operations with the same method and path would leave it open which service a request is for. */
function findSharedRoutes(document: ConfigurationDocument): Problem[] {
  const routes = document.services.flatMap((service, serviceIndex) =>
    service.operations.map((operation, index) => ({
      route: `${operation.method} ${operation.path.replace(/:\w+/g, ":")}`,
      path: `services[${serviceIndex}].operations[${index}].path`,
    }))
  );
  return routes.flatMap((route, index) => {
    const first = routes.findIndex((other) => other.route === route.route);
    const message =
      `expected each method and path once; the same route stands at ${
        routes[first]?.path
      }`;
    return first < index ? [{ path: route.path, message }] : [];
  });
}
