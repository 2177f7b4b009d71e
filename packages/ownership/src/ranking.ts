/**
 * Rendezvous ranking: every daemon works out the same order from the same names, without agreement,
 * and the loss of one name changes nobody else's place.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Sorts candidates by a hash of their name together with a subject's. */
export function rankFor<T>(
  subject: string,
  by: { candidates: readonly T[]; nameOf: (candidate: T) => string },
): T[] {
  return by.candidates
    .map((candidate) => ({
      candidate,
      weight: weightOf(subject, by.nameOf(candidate)),
    }))
    .sort((left, right) => left.weight < right.weight ? -1 : 1)
    .map(({ candidate }) => candidate);
}

function weightOf(subject: string, name: string): string {
  return createHash("sha1").update(subject).update("\n").update(name).digest(
    "hex",
  );
}
