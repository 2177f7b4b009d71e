/**
 * A replay of many owners who ask one daemon what the store holds.
 *
 * @module
 */
import { expect } from "chai";
import { batchDelayMs, ConfirmationSchedule } from "./confirmation_schedule.ts";
import { seededRandom } from "./testing/seeded_random.ts";

/** What a read and its answers take, in milliseconds. */
const READ_MS = 8;
/** Time between two looks of an owner, in milliseconds. */
const TICK_MS = 50;
/** Owners that begin at random moments have come together by then, in milliseconds; then the reads are counted. */
const SETTLED_MS = 5_000;
const LENGTH_MS = SETTLED_MS + 28_000;
/** Without a confirmation for so long, an owner asks for promises, in milliseconds. */
const LATE_MS = 2_400;

/** Plays owners that begin at random moments; tells the reads, and how old a confirmation became. */
function play(owners: number, seed: number) {
  const random = seededRandom(seed);
  const players = Array.from({ length: owners }, () => ({
    turns: ConfirmationSchedule.create(random),
    firstMs: Math.floor(random() * 1_500),
    phaseMs: Math.floor(random() * TICK_MS),
    confirmedMs: undefined as number | undefined,
  }));
  const asked = new Map<typeof players[number], number>();
  let answerAtMs = Infinity;
  const seen = { firstReads: 0, reads: 0, oldestMs: 0 };
  for (let nowMs = 0; nowMs < LENGTH_MS; nowMs += 1) {
    if (nowMs === answerAtMs) {
      seen.reads += nowMs < SETTLED_MS ? 0 : 1;
      seen.firstReads += nowMs < SETTLED_MS ? 1 : 0;
      answerAtMs = Infinity;
      asked.forEach((askedAtMs, player) => {
        player.confirmedMs = askedAtMs;
        player.turns.recordSharedRead(nowMs);
      });
      asked.clear();
    }
    players
      .filter(({ phaseMs }) => nowMs % TICK_MS === phaseMs)
      .filter(({ firstMs }) => nowMs >= firstMs)
      .forEach((player) => {
        const { turns, confirmedMs = nowMs } = player;
        seen.oldestMs = Math.max(seen.oldestMs, nowMs - confirmedMs);
        if (turns.isDue(nowMs)) {
          turns.recordSent(nowMs);
          asked.set(player, nowMs);
          if (answerAtMs === Infinity) {
            answerAtMs = Math.round(nowMs + batchDelayMs(nowMs) + READ_MS);
          }
        }
      });
  }
  return seen;
}

describe("turns of owners who let one daemon read", () => {
  // Symptom: the daemon that reads for 98 owners reads every 0.4 s, although each owner needs a read in 1.5 s.
  // Sequence: owners ask 1.5 s after their last question; whenever questions were answered, others come.
  // Cause: nothing brought the questions together.
  [98, 6].forEach((owners) =>
    it(`come together, and no confirmation gets older by it, ${owners} owners`, () => {
      [1, 2, 3].forEach((seed) => {
        const { firstReads, reads, oldestMs } = play(owners, seed);
        expect(firstReads).to.be.below(25);
        expect(reads).to.be.within(19, 21);
        expect(oldestMs).to.be.below(LATE_MS - 300);
      });
    })
  );
});
