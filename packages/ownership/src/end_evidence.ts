/**
 * Works out from evidence when a sealed session has certainly ended.
 *
 * A session ends once so many of its witnesses can't promise for it any more that no quorum is left.
 * A witness can't promise any more once it refused and its last promise ran out, or once it has ended
 * itself. The second kind of evidence lets a takeover succeed that would otherwise wait for the dead.
 *
 * @module
 */
import {
  type LeaseTiming,
  refusalsNeeded,
  waiterDurationMs,
} from "./timing.ts";

/** What is known of one sealed session. All times are on the planner's clock. */
export interface SealedSession {
  readonly id: string;
  /** The witnesses in its sealed record; sealing makes them final. */
  readonly witnesses: readonly string[];
  /** When the planner knew that the record was sealed. */
  readonly sealedAtMs: number;
  /** By witness: when the last promise of one that refused has run out. */
  readonly promiseEndsAtMs: ReadonlyMap<string, number>;
  /**
   * When somebody vouched that the process has ended: a new session that holds the same address on
   * the same host, or an operator.
   */
  readonly endConfirmedAtMs: number | undefined;
}

/** A session that an earlier takeover found to have ended. */
export interface EndedSession {
  readonly id: string;
  /** When the planner knew of it. */
  readonly observedAtMs: number;
}

/**
 * Finds when each sealed session ends.
 *
 * It begins with no session ended and adds what follows until nothing new does. Evidence therefore
 * rests on live refusals, vouchers or earlier ends, never on a circle of sessions that would each
 * have ended only because the others have.
 *
 * @returns by session the time at which it has ended; sessions without enough evidence are absent.
 */
export function findEndTimes(
  sealed: readonly SealedSession[],
  context: { ended: readonly EndedSession[]; timing: LeaseTiming },
): Map<string, number> {
  const promiseMs = waiterDurationMs(context.timing);
  const ends = new Map(
    context.ended.map((session) => [session.id, session.observedAtMs]),
  );
  const sealedAt = new Map(
    sealed.map((session) => [session.id, session.sealedAtMs]),
  );
  const silentSince = (witness: string): number => {
    const end = ends.get(witness) ?? Infinity;
    // A reading of its open record may have permitted the witness to promise until one length after
    // its seal, and what it promised last holds for one length more. Where the seal was not seen, it
    // was before the end.
    const seal = sealedAt.get(witness) ?? end;
    return Math.max(end, seal + promiseMs) + promiseMs;
  };
  const endOf = (session: SealedSession): number => {
    const vouched = session.endConfirmedAtMs === undefined
      ? Infinity
      : session.endConfirmedAtMs + promiseMs;
    const silent = session.witnesses
      .map((witness) =>
        Math.min(
          session.promiseEndsAtMs.get(witness) ?? Infinity,
          silentSince(witness),
        )
      )
      .sort((left, right) => left - right);
    return Math.min(
      vouched,
      silent[refusalsNeeded(silent.length) - 1] ?? Infinity,
    );
  };
  // Each round settles at least one more session or is the last.
  sealed.forEach(() => {
    sealed
      .map((session) => ({ id: session.id, end: endOf(session) }))
      .filter(({ id, end }) => end < (ends.get(id) ?? Infinity))
      .forEach(({ id, end }) => ends.set(id, end));
  });
  return new Map(
    sealed.flatMap(({ id }) =>
      ends.has(id) ? [[id, ends.get(id) as number]] : []
    ),
  );
}
