/**
 * With which daemons records are exchanged.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { SessionRecord } from "@bamboolink/types";
import { NEIGHBOUR_COUNT } from "./record_gossiper.ts";

/**
 * Chooses the neighbours of a session: a few others by a hash of both names, so that the fleet forms a
 * random graph in which news needs few steps, without anybody agreeing on it.
 *
 * @param own identity of the own session; without one the neighbours are the seeds.
 * @returns control addresses.
 */
export function chooseNeighbours(
  own: string | undefined,
  context: { sessions: readonly SessionRecord[]; seeds: string },
): string[] {
  const seeds = context.seeds.split(",").map((seed) => seed.trim()).filter((
    seed,
  ) => seed !== "");
  if (own === undefined) {
    return seeds;
  }
  const chosen = context.sessions
    .filter((session) => session.state === "open" && session.id !== own)
    .map((session) => ({ session, weight: weightOf(own, session.id) }))
    .sort((left, right) => left.weight < right.weight ? -1 : 1)
    .slice(0, NEIGHBOUR_COUNT)
    .map(({ session }) => session.control_address);
  return chosen.length === 0 ? seeds : chosen;
}

function weightOf(own: string, other: string): string {
  return createHash("sha1").update(own).update("\n").update(other).digest(
    "hex",
  );
}
