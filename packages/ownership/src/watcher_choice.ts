/**
 * Which daemons watch the store; the others hear from them.
 *
 * @module
 */
import type { SessionRecord } from "@bamboolink/types";
import { rankFor } from "./ranking.ts";

/** Watchers in each availability zone. The store counts a waiting watch as a call. */
export const WATCHERS_PER_ZONE = 2;

/** The watchers in the order in which they stand for planner, best first. */
export function rankWatchers(
  sessions: readonly SessionRecord[],
): SessionRecord[] {
  const open = sessions.filter((session) =>
    session.state === "open" && !session.draining
  );
  const ranked = rankFor("watchers", {
    candidates: open,
    nameOf: (session) => session.id,
  });
  return ranked.filter((session, index) =>
    ranked
      .slice(0, index)
      .filter((other) => other.availability_zone === session.availability_zone)
      .length < WATCHERS_PER_ZONE
  );
}
