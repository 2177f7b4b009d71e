/**
 * Tests of the computation of when sealed sessions have ended.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { findEndTimes, type SealedSession } from "./end_evidence.ts";
import { LeaseHolder } from "./lease_holder.ts";
import { DEFAULT_TIMING as timing, waiterDurationMs } from "./timing.ts";
import { WitnessLedger } from "./witness_ledger.ts";

const PROMISE_MS = waiterDurationMs(timing);

function sealed(id: string, options: Partial<SealedSession>): SealedSession {
  return {
    id,
    witnesses: [],
    sealedAtMs: 0,
    promiseEndsAtMs: new Map(),
    endConfirmedAtMs: undefined,
    ...options,
  };
}

describe("findEndTimes", () => {
  describe("with a failed witness", () => {
    // Guards against two owners of one key, seconds after takeovers of two hosts, one after the other. Witness w is
    // suspended, reads its record as open and is sealed right after. No witness had promised to it, so it ends at
    // once and is recorded as ended. Because of that read it may still promise to s when another planner takes over
    // from s, if its promises are assumed to end together with its ownership.
    it("waits for promises that the witness may still give after its end", () => {
      const lease = LeaseHolder.create(timing);
      lease.setWitnesses(["w", "x"]);
      const ledger = WitnessLedger.create(timing);
      ledger.confirmOpen(0);
      const sealedAtMs = 1;
      const lastRenewalMs = timing.promiseMs * (1 - timing.drift) - 1;
      const response = ledger.renew("s", {
        nowMs: lastRenewalMs,
        validUntilMs: -Infinity,
      });
      expect(response).to.equal("promised");
      lease.recordPromise("w", lastRenewalMs);
      const session = sealed("s", {
        witnesses: ["w", "x"],
        promiseEndsAtMs: new Map([["x", 0]]),
      });
      const ends = findEndTimes([session], {
        ended: [{ id: "w", observedAtMs: sealedAtMs }],
        timing,
      });
      expect(ends.get("s")).to.be.at.least(lease.validUntil);
    });
  });

  describe("with sessions that are each other's witnesses", () => {
    const mutualWitnesses = (endConfirmedAtMs: number | undefined) =>
      ["a", "b", "c"].map((id, index, all) =>
        sealed(id, {
          witnesses: all.filter((other) => other !== id),
          endConfirmedAtMs: index === 0 ? endConfirmedAtMs : undefined,
        })
      );

    it("finds no end without other evidence", () => {
      expect(
        findEndTimes(mutualWitnesses(undefined), { ended: [], timing }).size,
      ).to
        .equal(0);
    });

    it("finds no further end from one confirmed end where two refusals are needed", () => {
      expect([
        ...findEndTimes(mutualWitnesses(5), { ended: [], timing }).keys(),
      ]).to.deep
        .equal(["a"]);
    });
  });

  describe("with an availability zone and another host that fail at once", () => {
    it("finds the end through a failed witness that alive witnesses refuse", () => {
      // Two of five witnesses are alive. A third one, d3, has failed too, but two of its own witnesses refuse it.
      const lost = sealed("lost", {
        witnesses: ["d1", "d2", "l1", "l2", "d3"],
        promiseEndsAtMs: new Map([["l1", 100], ["l2", 200]]),
      });
      const third = sealed("d3", {
        witnesses: ["l1", "l2", "l3"],
        promiseEndsAtMs: new Map([["l1", 50], ["l2", 80]]),
      });
      const ends = findEndTimes([lost, third], { ended: [], timing });
      expect(ends.get("d3")).to.equal(80);
      expect(ends.get("lost")).to.equal(2 * PROMISE_MS);
    });
  });

  describe("compared with a naive fixed point", () => {
    it("finds the same ends", () => {
      const names = ["a", "b", "c", "d", "e"];
      const session = (id: string) =>
        fc.record({
          witnesses: fc.subarray(names.filter((name) => name !== id), {
            minLength: 1,
          }),
          sealedAtMs: fc.nat(100),
          cleared: fc.dictionary(fc.constantFrom(...names), fc.nat(1_000)),
          endConfirmedAtMs: fc.option(fc.nat(1_000), {
            nil: undefined,
            freq: 3,
          }),
        }).map(({ cleared, ...rest }) =>
          sealed(id, {
            ...rest,
            promiseEndsAtMs: new Map(Object.entries(cleared)),
          })
        );
      const property = fc.property(
        fc.tuple(...names.map(session)),
        (sessions) => {
          expect(findEndTimes(sessions, { ended: [], timing })).to.deep.equal(
            findNaively(sessions),
          );
        },
      );
      fc.assert(property, { seed: 41, numRuns: 1_000 });
    });
  });
});

/** Finds the ends one by one, the earliest first. */
function findNaively(sessions: readonly SealedSession[]): Map<string, number> {
  const ends = new Map<string, number>();
  const promisesEndAtMs = (witness: string) => {
    const end = ends.get(witness);
    const seal = sessions.find(({ id }) => id === witness)?.sealedAtMs ??
      Infinity;
    return end === undefined
      ? Infinity
      : Math.max(end, seal + PROMISE_MS) + PROMISE_MS;
  };
  const endOf = (session: SealedSession) => {
    const times = session.witnesses.map((witness) =>
      Math.min(
        session.promiseEndsAtMs.get(witness) ?? Infinity,
        promisesEndAtMs(witness),
      )
    ).sort((left, right) => left - right);
    const needed = times.length - Math.ceil(times.length / 2) + 1;
    return Math.min(
      (session.endConfirmedAtMs ?? Infinity) + PROMISE_MS,
      times[needed - 1] ?? Infinity,
    );
  };
  for (;;) {
    const open = sessions.filter(({ id }) => !ends.has(id))
      .map((session) => ({ id: session.id, end: endOf(session) }))
      .filter(({ end }) => end < Infinity)
      .sort((left, right) => left.end - right.end);
    const [first] = open;
    if (first === undefined) {
      return ends;
    }
    ends.set(first.id, first.end);
  }
}
