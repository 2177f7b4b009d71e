/**
 * Which sessions witness for which.
 *
 * @module
 */
import type { SessionRecord } from "@bamboolink/types";
import { rankFor } from "./ranking.ts";

/** How many witnesses a session has, where there are enough. */
export const WITNESS_COUNT = 5;

/**
 * Chooses witnesses for a session: open ones in its own region, spread over availability zones, at
 * most one on a host.
 *
 * Regions lose each other for minutes, so a witness elsewhere would be silent as long. A zone may go
 * at once, so no zone holds more witnesses than the spread forces.
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
    nameOf: (session) => session.id,
  });
  return spreadOverZones(ranked).slice(0, WITNESS_COUNT).map((session) =>
    session.id
  );
}

/**
 * Reviews the witnesses of a session: those that are still good stay, so that a loss changes only the
 * sets that held the lost one.
 *
 * @param unreachable witnesses that have not answered for long.
 * @returns the new set, or `undefined` where it stays as it is.
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

/** Takes turns between zones, keeping the order within each. */
function spreadOverZones(ranked: readonly SessionRecord[]): SessionRecord[] {
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
