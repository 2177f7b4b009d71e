/**
 * Tests of the record of requests that a backend server answered before it crashed.
 *
 * @module
 */
import { expect } from "chai";
import { RecentResponses } from "./recent_responses.ts";
import { fingerprintRequest } from "./request_fingerprint.ts";

const createContent = (target: string, body?: Buffer) => ({
  method: "GET",
  target,
  headers: ["host", "rooms.example"],
  body,
});

describe("RecentResponses", () => {
  it("returns the fingerprints of the answered requests once", () => {
    const responses = RecentResponses.create();
    responses.record(createContent("/popular"));
    const answered = responses.takeFingerprints();
    expect(answered.has(fingerprintRequest(createContent("/popular")))).to
      .equal(true);
    expect(answered.has(fingerprintRequest(createContent("/other")))).to.equal(
      false,
    );
    expect(responses.takeFingerprints().size).to.equal(0);
  });

  it("keeps only the most recent requests, and none with large bodies", () => {
    const responses = RecentResponses.create();
    const large = createContent("/large", Buffer.alloc(100_000));
    Array.from({ length: 1_000 }, (_, index) => createContent(`/${index}`))
      .forEach((content) => responses.record(content));
    responses.record(large);
    const answered = responses.takeFingerprints();
    expect(answered.has(fingerprintRequest(createContent("/999")))).to.equal(
      true,
    );
    expect(answered.has(fingerprintRequest(createContent("/0")))).to.equal(
      false,
    );
    expect(answered.has(fingerprintRequest(large))).to.equal(false);
  });
});
