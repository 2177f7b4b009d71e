/**
 * Tests of learning which requests are followed by others on their connection.
 *
 * @module
 */
import { expect } from "chai";
import { ConnectionOrder } from "./connection_order.ts";

describe("connection order", () => {
  describe("while callers wait for each answer", () => {
    it("takes no request for followed", () => {
      const order = ConnectionOrder.create();
      const connection = {};
      Array.from({ length: 40 }, () => {
        order.begin(connection);
        order.end(connection, "look-up");
      });
      order.begin(connection);
      expect(order.isFollowed(connection, "look-up")).to.equal(false);
    });
  });

  describe("when callers send ahead", () => {
    it("takes requests of that route for followed, on any connection", () => {
      const order = ConnectionOrder.create();
      const busy = {};
      Array.from({ length: 40 }, () => {
        order.begin(busy);
        order.begin(busy);
        order.end(busy, "look-up");
        order.end(busy, "view");
      });
      const other = {};
      order.begin(other);
      expect(order.isFollowed(other, "look-up")).to.equal(true);
      expect(order.isFollowed(other, "view")).to.equal(false);
    });
  });

  describe("of requests that were sent ahead", () => {
    it("tells which one nobody has come behind", () => {
      const order = ConnectionOrder.create();
      const connection = {};
      const first = order.begin(connection);
      const second = order.begin(connection);
      expect(order.isLast(connection, first)).to.equal(false);
      order.end(connection, "look-up");
      expect(order.isLast(connection, first)).to.equal(false);
      expect(order.isLast(connection, second)).to.equal(true);
    });
  });
});
