/**
 * Simulation of many owners that confirm their leases by the shared reads of one daemon.
 *
 * @module
 */
import { expect } from "chai";
import { batchDelayMs, ConfirmationSchedule } from "./confirmation_schedule.ts";
import { seededRandom } from "@bamboolink/simulation";

/** Duration of a read and its responses, in milliseconds. */
const READ_MS = 8;
/** Interval at which an owner checks whether a request is due, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/**
 * The requests of owners that start at random times are aligned by then, in milliseconds; reads are counted from then
 * on.
 */
const ALIGNMENT_MS = 5_000;
const DURATION_MS = ALIGNMENT_MS + 28_000;
/** Age of a confirmation from which on an owner requests promises, in milliseconds. */
const PROMISE_REQUEST_AGE_MS = 2_400;

/** Simulates owners that start at random times; returns the number of reads and the maximum age of a confirmation. */
function simulate(owners: number, seed: number) {
  const random = seededRandom(seed);
  const simulatedOwners = Array.from({ length: owners }, () => ({
    schedule: ConfirmationSchedule.create(random),
    startMs: Math.floor(random() * 1_500),
    checkOffsetMs: Math.floor(random() * CHECK_INTERVAL_MS),
    confirmedAtMs: undefined as number | undefined,
  }));
  const requests = new Map<typeof simulatedOwners[number], number>();
  let responseAtMs = Infinity;
  const result = { initialReads: 0, reads: 0, maxAgeMs: 0 };
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 1) {
    if (nowMs === responseAtMs) {
      result.reads += nowMs < ALIGNMENT_MS ? 0 : 1;
      result.initialReads += nowMs < ALIGNMENT_MS ? 1 : 0;
      responseAtMs = Infinity;
      requests.forEach((requestedAtMs, owner) => {
        owner.confirmedAtMs = requestedAtMs;
        owner.schedule.recordSharedRead(nowMs);
      });
      requests.clear();
    }
    simulatedOwners
      .filter(({ checkOffsetMs }) =>
        nowMs % CHECK_INTERVAL_MS === checkOffsetMs
      )
      .filter(({ startMs }) => nowMs >= startMs)
      .forEach((owner) => {
        const { schedule, confirmedAtMs = nowMs } = owner;
        result.maxAgeMs = Math.max(result.maxAgeMs, nowMs - confirmedAtMs);
        if (schedule.isDue(nowMs)) {
          schedule.recordSent(nowMs);
          requests.set(owner, nowMs);
          if (responseAtMs === Infinity) {
            responseAtMs = Math.round(nowMs + batchDelayMs(nowMs) + READ_MS);
          }
        }
      });
  }
  return result;
}

describe("confirmation schedule", () => {
  // Guards against a shared reader for 98 owners that reads every 0.4 s, although each owner needs a read in 1.5 s:
  // if owners send each request 1.5 s after their previous one, their requests are never aligned.
  [98, 6].forEach((owners) =>
    it(`aligns requests without increasing the age of confirmations, ${owners} owners`, () => {
      [1, 2, 3].forEach((seed) => {
        const { initialReads, reads, maxAgeMs } = simulate(owners, seed);
        expect(initialReads).to.be.below(25);
        expect(reads).to.be.within(19, 21);
        expect(maxAgeMs).to.be.below(PROMISE_REQUEST_AGE_MS - 300);
      });
    })
  );
});
