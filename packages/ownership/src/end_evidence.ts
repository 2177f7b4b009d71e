/**
 * Computes from evidence when a sealed session has certainly ended.
 *
 * A session has ended once too few of its witnesses can still hold a promise to it for a quorum. A witness no
 * longer holds one after it has refused and its last promise has expired, or after its own session has ended. The
 * second case lets a takeover finish that would otherwise wait for a witness that has itself failed.
 *
 * @module
 */
import {
  type LeaseTiming,
  refusalsNeeded,
  waiterDurationMs,
} from "./timing.ts";

/** Evidence about one sealed session. All times are in milliseconds of the planner's clock. */
export interface SealedSession {
  readonly id: string;
  /** The witnesses in its sealed record, which can no longer change. */
  readonly witnesses: readonly string[];
  /** When the planner observed that the record was sealed. */
  readonly sealedAtMs: number;
  /** For each witness that has refused, when its last promise expires. */
  readonly promiseEndsAtMs: ReadonlyMap<string, number>;
  /**
   * When the end of the process was confirmed, either by a new session with the same address on the same host or
   * by an operator; `undefined` if it was not.
   */
  readonly endConfirmedAtMs: number | undefined;
}

/** A session that is recorded as ended by an earlier takeover. */
export interface EndedSession {
  readonly id: string;
  /** When the planner observed the record, in milliseconds of its clock. */
  readonly observedAtMs: number;
}

/**
 * Finds when each sealed session ends.
 *
 * Computes a least fixed point: it starts from the sessions already ended and adds the ends that follow until no
 * new one does. Each end therefore rests on refusals of alive witnesses, confirmed ends or earlier takeovers, never
 * on a cycle of sessions that would each have ended only because the others have.
 *
 * @returns the time at which each session has ended, in milliseconds; sessions without enough evidence are absent.
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
  const allPromisesEndAtMs = (witness: string): number => {
    const end = ends.get(witness) ?? Infinity;
    // A read of its open record may have permitted the witness to promise until one promise duration after its
    // seal, and its last promise is valid for one more duration. A seal that the planner did not observe was
    // before the end.
    const seal = sealedAt.get(witness) ?? end;
    return Math.max(end, seal + promiseMs) + promiseMs;
  };
  const endOf = (session: SealedSession): number => {
    const confirmedEndAtMs = session.endConfirmedAtMs === undefined
      ? Infinity
      : session.endConfirmedAtMs + promiseMs;
    const witnessEndTimes = session.witnesses
      .map((witness) =>
        Math.min(
          session.promiseEndsAtMs.get(witness) ?? Infinity,
          allPromisesEndAtMs(witness),
        )
      )
      .sort((left, right) => left - right);
    return Math.min(
      confirmedEndAtMs,
      witnessEndTimes[refusalsNeeded(witnessEndTimes.length) - 1] ?? Infinity,
    );
  };
  // Each round finds the end of at least one more session, or no later round changes anything.
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
