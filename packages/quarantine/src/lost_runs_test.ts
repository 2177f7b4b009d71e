/**
 * Tests of what counts as running when a backend server ended, and of the names of requests.
 *
 * @module
 */
import { expect } from "chai";
import { LostRuns } from "./lost_runs.ts";
import { fingerprintRequest } from "./request_fingerprint.ts";

const lose = (requestId: string, atMs: number) => ({
  requestId,
  fingerprint: `f-${requestId}`,
  isOnProbation: false,
  lostAtMs: atMs,
});
const idsOf = (runs: readonly { requestId: string }[]) =>
  runs.map(({ requestId }) => requestId);

describe("LostRuns", () => {
  it("returns the runs that were lost together last", () => {
    const lost = LostRuns.create();
    lost.recordLost(lose("reset", 1_000));
    lost.recordLost(lose("a", 5_000));
    lost.recordLost(lose("b", 5_004));
    expect(idsOf(lost.takeRunsAtCrash(5_200))).to.deep.equal(["a", "b"]);
    expect(lost.takeRunsAtCrash(5_300)).to.deep.equal([]);
  });

  it("leaves out a run that the server has outlived", () => {
    const lost = LostRuns.create();
    lost.recordLost(lose("broken_off", 1_000));
    lost.recordAnswered(1_150);
    expect(lost.takeRunsAtCrash(2_000)).to.deep.equal([]);
  });

  it("keeps runs beside which an answer came that was sent before the end", () => {
    const lost = LostRuns.create();
    lost.recordLost(lose("a", 1_000));
    lost.recordAnswered(1_002);
    expect(idsOf(lost.takeRunsAtCrash(1_300))).to.deep.equal(["a"]);
  });

  it("does not blame a run that was lost long before the end", () => {
    const lost = LostRuns.create();
    lost.recordLost(lose("a", 1_000));
    expect(lost.takeRunsAtCrash(60_000)).to.deep.equal([]);
  });
});

describe("fingerprintRequest", () => {
  const content = {
    method: "POST",
    target: "/rooms/7?page=1",
    headers: ["Host", "rooms.example", "cookie", "a=1"],
    body: Buffer.from("two nights"),
  };
  const name = fingerprintRequest(content);

  it("is the same for another attempt, whose headers differ", () => {
    const headers = ["cookie", "a=2", "host", "ROOMS.example"];
    expect(fingerprintRequest({ ...content, headers })).to.equal(name);
  });

  it("differs by method, host, path, query and body", () => {
    const others = [
      { ...content, method: "PUT" },
      { ...content, headers: ["host", "desk.example"] },
      { ...content, target: "/rooms/7" },
      { ...content, body: Buffer.from("three nights") },
      { ...content, body: undefined },
    ].map(fingerprintRequest);
    expect(new Set([name, ...others]).size).to.equal(others.length + 1);
  });
});
