/**
 * Tests of learning which requests are followed by others on their connection.
 *
 * @module
 */
import { expect } from "chai";
import { PipelineTracker } from "./pipeline_tracker.ts";

describe("connection order", () => {
  describe("while callers wait for each answer", () => {
    it("takes no request for followed", () => {
      const order = PipelineTracker.create();
      const connection = {};
      Array.from({ length: 40 }, () => {
        order.beginRequest(connection);
        order.endRequest(connection, "look-up");
      });
      order.beginRequest(connection);
      expect(order.isLikelyPipelined(connection, "look-up")).to.equal(false);
    });
  });

  describe("when callers send ahead", () => {
    it("takes requests of that route for followed, on any connection", () => {
      const order = PipelineTracker.create();
      const busy = {};
      Array.from({ length: 40 }, () => {
        order.beginRequest(busy);
        order.beginRequest(busy);
        order.endRequest(busy, "look-up");
        order.endRequest(busy, "view");
      });
      const other = {};
      order.beginRequest(other);
      expect(order.isLikelyPipelined(other, "look-up")).to.equal(true);
      expect(order.isLikelyPipelined(other, "view")).to.equal(false);
    });
  });

  describe("of requests that were sent ahead", () => {
    it("tells which one nobody has come behind", () => {
      const order = PipelineTracker.create();
      const connection = {};
      const first = order.beginRequest(connection);
      const second = order.beginRequest(connection);
      expect(order.isLast(connection, first)).to.equal(false);
      order.endRequest(connection, "look-up");
      expect(order.isLast(connection, first)).to.equal(false);
      expect(order.isLast(connection, second)).to.equal(true);
    });
  });
});
