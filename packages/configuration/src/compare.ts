/**
 * Computes the differences between two configuration documents, for display.
 *
 * @module
 */

/** One difference between two documents. */
export interface Change {
  /** Path of the value, for example `services.quotes.queue.length`; list entries with a name are identified by it. */
  readonly path: string;
  /** The value before; `undefined` if it was added. */
  readonly before: unknown;
  /** The value after; `undefined` if it was removed. */
  readonly after: unknown;
}

/** Returns the differences between two documents, ordered by path. */
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

/**
 * Returns the entries of an object by property and those of a list by name, so that an insertion into a list is one
 * difference; `undefined` for other values and for lists with entries that have no name.
 */
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
