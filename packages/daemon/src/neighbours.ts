/**
 * Chooses the daemons with which records are exchanged.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { SessionRecord } from "@bamboolink/types";
import { NEIGHBOUR_COUNT } from "./record_gossiper.ts";

/**
 * Chooses the neighbours of a session: a few others by a hash of both ids, so that the fleet forms a random
 * graph in which updates need few hops, without coordination.
 *
 * @param sessionId id of this daemon's session; without one the neighbours are the seeds.
 * @param context `sessions`: all session records; `seeds`: comma-separated control addresses, also used if no
 *   other session is open.
 * @returns control addresses of the neighbours.
 */
export function chooseNeighbours(
  sessionId: string | undefined,
  context: { sessions: readonly SessionRecord[]; seeds: string },
): string[] {
  const seeds = context.seeds.split(",").map((seed) => seed.trim()).filter((
    seed,
  ) => seed !== "");
  if (sessionId === undefined) {
    return seeds;
  }
  const chosen = context.sessions
    .filter((session) => session.state === "open" && session.id !== sessionId)
    .map((session) => ({ session, weight: weightOf(sessionId, session.id) }))
    .sort((left, right) => left.weight < right.weight ? -1 : 1)
    .slice(0, NEIGHBOUR_COUNT)
    .map(({ session }) => session.control_address);
  return chosen.length === 0 ? seeds : chosen;
}

function weightOf(sessionId: string, other: string): string {
  return createHash("sha1").update(sessionId).update("\n").update(other).digest(
    "hex",
  );
}
