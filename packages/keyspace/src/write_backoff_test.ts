/**
 * A replay of many writers who change one record at the same time.
 *
 * @module
 */
import { expect } from "chai";
import { seededRandom } from "./testing/seeded_random.ts";
import { WriteBackoff } from "./write_backoff.ts";

/** Half of the time that a call to the store takes, and how long news travels, in milliseconds. */
const HALF_CALL_MS = 3;
const NEWS_MS = 8;

/** One writer; `step` is done at `atMs`. */
interface Writer {
  readonly turns: WriteBackoff;
  known: number;
  expected: number;
  atMs: number;
  step: "write" | "arrive" | "win" | "lose" | "look" | "read" | "done";
}

/** Writers that begin within a time, each with one change; tells their calls and when the last one was through. */
function play(
  scene: { writers: number; withinMs: number; isPatient: boolean },
) {
  const random = seededRandom(3);
  const seen = { writes: 0, reads: 0, doneMs: 0 };
  const news: { atMs: number; revision: number }[] = [];
  let revision = 1;
  const writers = Array.from({ length: scene.writers }, (): Writer => ({
    turns: WriteBackoff.create(random),
    known: 1,
    expected: 1,
    atMs: Math.floor(random() * scene.withinMs),
    step: "write",
  }));
  /** Does a writer's step; returns the next one, and for how long it waits before that. */
  const go = (writer: Writer, nowMs: number): [Writer["step"], number] => {
    switch (writer.step) {
      case "write":
        seen.writes += 1;
        writer.expected = writer.known;
        return ["arrive", HALF_CALL_MS];
      case "arrive":
        if (writer.expected !== revision) {
          return ["lose", HALF_CALL_MS];
        }
        revision += 1;
        return ["win", HALF_CALL_MS];
      case "win":
        news.push({ atMs: nowMs + NEWS_MS, revision });
        seen.doneMs = nowMs;
        return ["done", 0];
      case "lose":
        return ["look", scene.isPatient ? writer.turns.recordConflict() : 0];
      case "look":
        if (writer.known > writer.expected) {
          return ["write", 0];
        }
        seen.reads += 1;
        return ["read", HALF_CALL_MS];
      default:
        writer.known = revision;
        return ["write", HALF_CALL_MS];
    }
  };
  for (
    let nowMs = 0;
    writers.some(({ step }) => step !== "done");
    nowMs += 1
  ) {
    news.filter(({ atMs }) => atMs === nowMs).forEach((heard) =>
      writers.forEach((writer) => {
        writer.known = Math.max(writer.known, heard.revision);
      })
    );
    writers.forEach((writer) => {
      while (writer.step !== "done" && writer.atMs <= nowMs) {
        const [step, pauseMs] = go(writer, nowMs);
        Object.assign(writer, { step, atMs: nowMs + pauseMs });
      }
    });
  }
  return seen;
}

describe("turns of writers of one record", () => {
  // Symptom: 250 of 287 writes of the record in one second lose the race; each is a call to the store, and so is the
  // read after it.
  // Sequence: 63 owners give keys up with the heartbeats of a quarter of a second; who loses reads, and writes again.
  // Cause: those who lost to the same write read at the same moment, and all but one of them lose again.
  it("need less than a third of the calls of writing again at once", () => {
    const scene = { writers: 63, withinMs: 250 };
    const atOnce = play({ ...scene, isPatient: false });
    const inTurns = play({ ...scene, isPatient: true });
    expect(inTurns.reads).to.equal(0);
    expect(inTurns.writes).to.be.below((atOnce.writes + atOnce.reads) / 3);
  });

  it("let all through within 1.5 s", () => {
    const { doneMs } = play({ writers: 63, withinMs: 250, isPatient: true });
    expect(doneMs).to.be.below(1_500);
  });

  it("let few through without more delay than a heartbeat takes to be answered", () => {
    const { doneMs } = play({ writers: 10, withinMs: 1, isPatient: true });
    expect(doneMs).to.be.below(300);
  });
});
