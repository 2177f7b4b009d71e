/**
 * Selects the witnesses of each session.
 *
 * @module
 */
import type { SessionRecord } from "@bamboolink/types";
import { rankFor } from "./ranking.ts";

/** Number of witnesses of a session if enough sessions are eligible. */
export const MAX_WITNESSES = 5;

/**
 * Chooses witnesses for a session: open sessions of the same region on other hosts, spread over availability zones.
 * Sessions that a newer session replaces are excluded; with one daemon per host, no host has two witnesses.
 *
 * Regions can be partitioned from each other for minutes, and a witness in another region would be unreachable
 * for as long. A whole zone can fail at once, so the witnesses are spread as evenly over zones as possible.
 *
 * @returns the ids of at most `MAX_WITNESSES` sessions.
 */
export function chooseWitnesses(
  self: Pick<SessionRecord, "id" | "host" | "region">,
  sessions: readonly SessionRecord[],
): string[] {
  const replaced = new Set(sessions.flatMap((session) => session.replaces));
  const eligible = sessions.filter((session) =>
    isEligible(session, self) && !replaced.has(session.id)
  );
  const ranked = rankFor(self.id, {
    candidates: eligible,
    idOf: (session) => session.id,
  });
  return interleaveZones(ranked).slice(0, MAX_WITNESSES).map((session) =>
    session.id
  );
}

/**
 * Replaces the witnesses of a session that are no longer usable. The others stay, so that the loss of a session
 * changes only the witness sets that contain it.
 *
 * @param context.unreachable witnesses that have not responded for a long time.
 * @returns the ids of the new set, or `undefined` if the set does not change.
 */
export function reviewWitnesses(
  self: SessionRecord,
  context: {
    sessions: readonly SessionRecord[];
    unreachable: ReadonlySet<string>;
  },
): string[] | undefined {
  const reachable = context.sessions.filter((session) =>
    !context.unreachable.has(session.id)
  );
  const kept = self.witnesses.filter((id) =>
    reachable.some((session) => session.id === id && isEligible(session, self))
  );
  const wanted = chooseWitnesses(self, reachable);
  if (kept.length === wanted.length && kept.length === self.witnesses.length) {
    return undefined;
  }
  const next = [...kept, ...wanted.filter((id) => !kept.includes(id))].slice(
    0,
    wanted.length,
  );
  const same = next.length === self.witnesses.length &&
    next.every((id) => self.witnesses.includes(id));
  return same ? undefined : next;
}

function isEligible(
  session: SessionRecord,
  self: Pick<SessionRecord, "id" | "host" | "region">,
): boolean {
  return session.state === "open" &&
    session.region === self.region &&
    session.id !== self.id &&
    session.host !== self.host;
}

/** Orders sessions round-robin over their zones and keeps the order within each zone. */
function interleaveZones(ranked: readonly SessionRecord[]): SessionRecord[] {
  const turns = ranked.map((session, index) => ({
    session,
    turn:
      ranked.slice(0, index).filter((other) =>
        other.availability_zone === session.availability_zone
      ).length,
  }));
  return turns.sort((left, right) => left.turn - right.turn).map((
    { session },
  ) => session);
}
