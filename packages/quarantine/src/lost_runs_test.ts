/**
 * Tests of which runs count as lost in a crash of a backend server, and of request fingerprints.
 *
 * @module
 */
import { expect } from "chai";
import { LostRuns } from "./lost_runs.ts";
import { fingerprintRequest } from "./request_fingerprint.ts";

const createRun = (requestId: string, lostAtMs: number) => ({
  requestId,
  fingerprint: `f-${requestId}`,
  isOnProbation: false,
  lostAtMs,
});
const idsOf = (runs: readonly { requestId: string }[]) =>
  runs.map(({ requestId }) => requestId);

describe("LostRuns", () => {
  it("returns the runs that were lost together most recently", () => {
    const lostRuns = LostRuns.create();
    lostRuns.recordLost(createRun("reset", 1_000));
    lostRuns.recordLost(createRun("a", 5_000));
    lostRuns.recordLost(createRun("b", 5_004));
    expect(idsOf(lostRuns.takeRunsAtCrash(5_200))).to.deep.equal(["a", "b"]);
    expect(lostRuns.takeRunsAtCrash(5_300)).to.deep.equal([]);
  });

  it("leaves out a run that the server has survived", () => {
    const lostRuns = LostRuns.create();
    lostRuns.recordLost(createRun("broken_off", 1_000));
    lostRuns.recordAnswered(1_150);
    expect(lostRuns.takeRunsAtCrash(2_000)).to.deep.equal([]);
  });

  it("keeps runs if a response that was sent before the crash is read with their loss", () => {
    const lostRuns = LostRuns.create();
    lostRuns.recordLost(createRun("a", 1_000));
    lostRuns.recordAnswered(1_002);
    expect(idsOf(lostRuns.takeRunsAtCrash(1_300))).to.deep.equal(["a"]);
  });

  it("leaves out a run that was lost long before the crash", () => {
    const lostRuns = LostRuns.create();
    lostRuns.recordLost(createRun("a", 1_000));
    expect(lostRuns.takeRunsAtCrash(60_000)).to.deep.equal([]);
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
