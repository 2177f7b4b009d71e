/**
 * Tests of what a backend server has answered before it ended.
 *
 * @module
 */
import { expect } from "chai";
import { RecentResponses } from "./recent_responses.ts";
import { fingerprintRequest } from "./request_fingerprint.ts";

const ask = (target: string, body?: Buffer) => ({
  method: "GET",
  target,
  headers: ["host", "rooms.example"],
  body,
});

describe("RecentAnswers", () => {
  it("names what the process that has ended had answered, once", () => {
    const answers = RecentResponses.create();
    answers.record(ask("/popular"));
    const answered = answers.takeFingerprints();
    expect(answered.has(fingerprintRequest(ask("/popular")))).to.equal(true);
    expect(answered.has(fingerprintRequest(ask("/other")))).to.equal(false);
    expect(answers.takeFingerprints().size).to.equal(0);
  });

  it("keeps the latest of more than it has room for, and no large bodies", () => {
    const answers = RecentResponses.create();
    const large = ask("/large", Buffer.alloc(100_000));
    Array.from({ length: 1_000 }, (_, index) => ask(`/${index}`))
      .forEach((content) => answers.record(content));
    answers.record(large);
    const answered = answers.takeFingerprints();
    expect(answered.has(fingerprintRequest(ask("/999")))).to.equal(true);
    expect(answered.has(fingerprintRequest(ask("/0")))).to.equal(false);
    expect(answered.has(fingerprintRequest(large))).to.equal(false);
  });
});
