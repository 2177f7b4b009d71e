/**
 * Rendezvous hashing: every daemon computes the same order from the same ids without coordination, and
 * removing one id does not change the relative order of the others.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Sorts candidates by the hash of the subject and the candidate's id, lowest hash first. */
export function rankFor<T>(
  subject: string,
  by: { candidates: readonly T[]; idOf: (candidate: T) => string },
): T[] {
  return by.candidates
    .map((candidate) => ({
      candidate,
      weight: weightOf(subject, by.idOf(candidate)),
    }))
    .sort((left, right) => left.weight < right.weight ? -1 : 1)
    .map(({ candidate }) => candidate);
}

function weightOf(subject: string, name: string): string {
  return createHash("sha1").update(subject).update("\n").update(name).digest(
    "hex",
  );
}
