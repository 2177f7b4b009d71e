/**
 * Tests of which headers travel on.
 *
 * @module
 */
import { HEADERS } from "@bamboolink/types";
import { expect } from "chai";
import { readSingle, selectEndToEnd } from "./http_headers.ts";

describe("headers", () => {
  it("of one connection end there, also those that it names itself", () => {
    const kept = selectEndToEnd({
      connection: "keep-alive, X-Local",
      "x-local": "1",
      "transfer-encoding": "chunked",
      upgrade: "websocket",
      traceparent: "00-1",
      "set-cookie": ["a", "b"],
    });
    expect(kept).to.deep.equal({
      traceparent: "00-1",
      "set-cookie": ["a", "b"],
    });
  });

  // Symptom: a backend server takes a caller's number for a fencing token.
  // Sequence: a caller sends the fleet's own headers.
  // Cause: passing them on.
  it("that only the fleet may set are dropped", () => {
    const forged = {
      [HEADERS.fencingToken]: "9",
      [HEADERS.grantExpires]: "9",
      [HEADERS.partition]: "1",
    };
    expect(selectEndToEnd(forged)).to.deep.equal({});
  });

  it("that may stand once are absent where they are repeated", () => {
    expect(readSingle({ "set-cookie": ["a", "b"] }, "set-cookie")).to.equal(
      undefined,
    );
    expect(readSingle({ host: "a" }, "host")).to.equal("a");
  });
});
