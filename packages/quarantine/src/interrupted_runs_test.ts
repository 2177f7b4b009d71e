/**
 * Tests of which runs count as interrupted by a crash of a backend server, and of request fingerprints.
 *
 * @module
 */
import { expect } from "chai";
import { InterruptedRuns } from "./interrupted_runs.ts";
import { fingerprintRequest } from "./request_fingerprint.ts";

const createRun = (requestId: string, interruptedAtMs: number) => ({
  requestId,
  fingerprint: `f-${requestId}`,
  isOnProbation: false,
  interruptedAtMs,
});
const idsOf = (runs: readonly { requestId: string }[]) =>
  runs.map(({ requestId }) => requestId);

describe("InterruptedRuns", () => {
  it("returns the runs that were interrupted together most recently", () => {
    const interruptedRuns = InterruptedRuns.create();
    interruptedRuns.recordInterrupted(createRun("reset", 1_000));
    interruptedRuns.recordInterrupted(createRun("a", 5_000));
    interruptedRuns.recordInterrupted(createRun("b", 5_004));
    expect(idsOf(interruptedRuns.takeRunsAtCrash(5_200))).to.deep.equal([
      "a",
      "b",
    ]);
    expect(interruptedRuns.takeRunsAtCrash(5_300)).to.deep.equal([]);
  });

  it("leaves out a run that the server has survived", () => {
    const interruptedRuns = InterruptedRuns.create();
    interruptedRuns.recordInterrupted(createRun("broken_off", 1_000));
    interruptedRuns.recordAnswered(1_150);
    expect(interruptedRuns.takeRunsAtCrash(2_000)).to.deep.equal([]);
  });

  it("keeps runs if a response that was sent before the crash is read together with their interruption", () => {
    const interruptedRuns = InterruptedRuns.create();
    interruptedRuns.recordInterrupted(createRun("a", 1_000));
    interruptedRuns.recordAnswered(1_002);
    expect(idsOf(interruptedRuns.takeRunsAtCrash(1_300))).to.deep.equal(["a"]);
  });

  it("leaves out a run that was interrupted long before the crash", () => {
    const interruptedRuns = InterruptedRuns.create();
    interruptedRuns.recordInterrupted(createRun("a", 1_000));
    expect(interruptedRuns.takeRunsAtCrash(60_000)).to.deep.equal([]);
  });
});

describe("fingerprintRequest", () => {
  const content = {
    method: "POST",
    target: "/rooms/7?page=1",
    headers: ["Host", "rooms.example", "cookie", "a=1"],
    body: Buffer.from("two nights"),
  };
  const fingerprint = fingerprintRequest(content);

  it("is the same for a retry with different headers", () => {
    const headers = ["cookie", "a=2", "host", "ROOMS.example"];
    expect(fingerprintRequest({ ...content, headers })).to.equal(fingerprint);
  });

  it("differs by method, host, path, query and body", () => {
    const otherFingerprints = [
      { ...content, method: "PUT" },
      { ...content, headers: ["host", "desk.example"] },
      { ...content, target: "/rooms/7" },
      { ...content, body: Buffer.from("three nights") },
      { ...content, body: undefined },
    ].map(fingerprintRequest);
    expect(new Set([fingerprint, ...otherFingerprints]).size).to.equal(
      otherFingerprints.length + 1,
    );
  });
});
