/**
 * Tests of tracking pipelined requests.
 *
 * @module
 */
import { expect } from "chai";
import { PipelineTracker } from "./pipeline_tracker.ts";

describe("PipelineTracker", () => {
  describe("while callers wait for each response", () => {
    it("considers no request pipelined", () => {
      const tracker = PipelineTracker.create();
      const connection = {};
      Array.from({ length: 40 }, () => {
        tracker.beginRequest(connection);
        tracker.endRequest(connection, "look-up");
      });
      tracker.beginRequest(connection);
      expect(tracker.isLikelyPipelined(connection, "look-up")).to.equal(false);
    });
  });

  describe("when callers pipeline requests", () => {
    it("considers requests of that route pipelined on any connection", () => {
      const tracker = PipelineTracker.create();
      const busy = {};
      Array.from({ length: 40 }, () => {
        tracker.beginRequest(busy);
        tracker.beginRequest(busy);
        tracker.endRequest(busy, "look-up");
        tracker.endRequest(busy, "view");
      });
      const other = {};
      tracker.beginRequest(other);
      expect(tracker.isLikelyPipelined(other, "look-up")).to.equal(true);
      expect(tracker.isLikelyPipelined(other, "view")).to.equal(false);
    });
  });

  describe("for pipelined requests", () => {
    it("reports which one is the last", () => {
      const tracker = PipelineTracker.create();
      const connection = {};
      const first = tracker.beginRequest(connection);
      const second = tracker.beginRequest(connection);
      expect(tracker.isLast(connection, first)).to.equal(false);
      tracker.endRequest(connection, "look-up");
      expect(tracker.isLast(connection, first)).to.equal(false);
      expect(tracker.isLast(connection, second)).to.equal(true);
    });
  });
});
