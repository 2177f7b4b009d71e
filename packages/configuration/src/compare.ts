/**
 * The difference between two configuration documents, for people.
 *
 * @module
 */

/** One difference. */
export interface Change {
  /** Where it is, for example `services.quotes.queue.length`; named entries go by their name. */
  readonly path: string;
  /** The value before; `undefined` where it was added. */
  readonly before: unknown;
  /** The value after; `undefined` where it was removed. */
  readonly after: unknown;
}

/** Lists the differences between two documents, in the order of their paths. */
export function compareDocuments(before: unknown, after: unknown): Change[] {
  return compareValues("", { before, after });
}

function compareValues(
  path: string,
  pair: { before: unknown; after: unknown },
): Change[] {
  const before = asEntries(pair.before);
  const after = asEntries(pair.after);
  if (before === undefined || after === undefined) {
    const same = JSON.stringify(pair.before) === JSON.stringify(pair.after);
    return same ? [] : [{ path: path === "" ? "(document)" : path, ...pair }];
  }
  const names = [...new Set([...before.keys(), ...after.keys()])].sort();
  return names.flatMap((name) =>
    compareValues(path === "" ? name : `${path}.${name}`, {
      before: before.get(name),
      after: after.get(name),
    })
  );
}

/** Objects by property; lists of named entries by name, so that an insertion isn't a rewrite. */
function asEntries(value: unknown): Map<string, unknown> | undefined {
  if (Array.isArray(value)) {
    const named = value.every((entry) =>
      typeof (entry as { name?: unknown } | null)?.name === "string"
    );
    return named
      ? new Map(value.map((entry) => [(entry as { name: string }).name, entry]))
      : undefined;
  }
  return typeof value === "object" && value !== null
    ? new Map(Object.entries(value))
    : undefined;
}
