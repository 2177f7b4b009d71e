/**
 * Tests of what a backend server has answered before it ended.
 *
 * @module
 */
import { expect } from "chai";
import { RecentAnswers } from "./recent_answers.ts";
import { fingerprintRequest } from "./request_fingerprint.ts";

const ask = (target: string, body?: Buffer) => ({
  method: "GET",
  target,
  headers: ["host", "rooms.example"],
  body,
});

describe("RecentAnswers", () => {
  it("names what the process that has ended had answered, once", () => {
    const answers = RecentAnswers.create();
    answers.note(ask("/popular"));
    const answered = answers.takeAll();
    expect(answered.has(fingerprintRequest(ask("/popular")))).to.equal(true);
    expect(answered.has(fingerprintRequest(ask("/other")))).to.equal(false);
    expect(answers.takeAll().size).to.equal(0);
  });

  it("keeps the latest of more than it has room for, and no large bodies", () => {
    const answers = RecentAnswers.create();
    const large = ask("/large", Buffer.alloc(100_000));
    Array.from({ length: 1_000 }, (_, index) => ask(`/${index}`))
      .forEach((content) => answers.note(content));
    answers.note(large);
    const answered = answers.takeAll();
    expect(answered.has(fingerprintRequest(ask("/999")))).to.equal(true);
    expect(answered.has(fingerprintRequest(ask("/0")))).to.equal(false);
    expect(answered.has(fingerprintRequest(large))).to.equal(false);
  });
});
