/**
 * Tests of how long a daemon that starts asks others for a report of an earlier process.
 *
 * @module
 */
import { expect } from "chai";
import { EarlierReportQuery } from "./earlier_report_query.ts";

const TICK_MS = 50;
/** A heartbeat's sender waits for its acknowledgement for a second. */
const HEARTBEAT_TIMEOUT_MS = 1_000;

function createQuery(knownAddresses: readonly string[]) {
  let nowMs = 0;
  const asked: string[] = [];
  const query = EarlierReportQuery.create({
    nowMs: () => nowMs,
    random: () => 0,
    knownAddresses: () => knownAddresses,
    request: (peer) => asked.push(peer),
  });
  const state = { hasEnded: false };
  void query.awaitEnd().then(() => {
    state.hasEnded = true;
  });
  const advance = (byMs: number) => {
    for (const endMs = nowMs + byMs; nowMs < endMs; nowMs += TICK_MS) {
      query.tick();
    }
  };
  const hasEnded = async () => {
    await Promise.resolve();
    return state.hasEnded;
  };
  return { query, asked, advance, hasEnded };
}

describe("EarlierReportQuery", () => {
  it("ends once several daemons have answered", async () => {
    const { query, asked, advance, hasEnded } = createQuery([
      "a",
      "b",
      "c",
      "d",
    ]);
    advance(TICK_MS);
    expect(asked).to.have.length(3);
    asked.slice(1).forEach((peer) => query.recordAnswer(peer));
    query.recordAnswer(asked[1]!);
    expect(await hasEnded()).to.equal(false);
    query.recordAnswer(asked[0]!);
    expect(await hasEnded()).to.equal(true);
  });

  it("ends once all daemons of a small fleet have answered", async () => {
    const { query, advance, hasEnded } = createQuery(["a"]);
    advance(TICK_MS);
    query.recordAnswer("a");
    expect(await hasEnded()).to.equal(true);
  });

  it("ignores answers to other requests", async () => {
    const { query, hasEnded } = createQuery(["a"]);
    query.recordAnswer("a");
    expect(await hasEnded()).to.equal(false);
  });

  it("asks again while daemons don't answer", () => {
    const { query, asked, advance } = createQuery(["a", "b"]);
    advance(TICK_MS);
    query.recordAnswer("a");
    const earlierCount = asked.length;
    advance(4 * TICK_MS);
    expect(new Set(asked.slice(earlierCount))).to.deep.equal(new Set(["b"]));
  });

  // Guards against a backend server that gets no requests because no other daemon runs.
  [[], ["a"]].forEach((knownAddresses) =>
    it(`ends before a heartbeat times out, with ${knownAddresses.length} silent daemons`, async () => {
      const { advance, hasEnded } = createQuery(knownAddresses);
      advance(HEARTBEAT_TIMEOUT_MS - TICK_MS);
      expect(await hasEnded()).to.equal(true);
    })
  );
});
