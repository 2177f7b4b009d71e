/**
 * Selects the daemons that watch the store; the other daemons receive changes from them.
 *
 * @module
 */
import type { SessionRecord } from "@bamboolink/types";
import { rankFor } from "./ranking.ts";

/** Number of watchers per availability zone; it is small because the store counts a pending watch as a call. */
export const WATCHERS_PER_ZONE = 2;

/** Returns the watchers in the order in which they are candidates for planner, first choice first. */
export function rankWatchers(
  sessions: readonly SessionRecord[],
): SessionRecord[] {
  const open = sessions.filter((session) =>
    session.state === "open" && !session.draining
  );
  const ranked = rankFor("watchers", {
    candidates: open,
    idOf: (session) => session.id,
  });
  return ranked.filter((session, index) =>
    ranked
      .slice(0, index)
      .filter((other) => other.availability_zone === session.availability_zone)
      .length < WATCHERS_PER_ZONE
  );
}
