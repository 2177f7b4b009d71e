/**
 * Tests of the selection of forwarded headers.
 *
 * @module
 */
import { HEADERS } from "@bamboolink/types";
import { expect } from "chai";
import { readSingleHeader, selectEndToEndHeaders } from "./http_headers.ts";

describe("HTTP headers", () => {
  it("are forwarded except hop-by-hop headers and those named in the header connection", () => {
    const forwarded = selectEndToEndHeaders({
      connection: "keep-alive, X-Local",
      "x-local": "1",
      "transfer-encoding": "chunked",
      upgrade: "websocket",
      traceparent: "00-1",
      "set-cookie": ["a", "b"],
    });
    expect(forwarded).to.deep.equal({
      traceparent: "00-1",
      "set-cookie": ["a", "b"],
    });
  });

  // Guards against a backend server that accepts a fencing token sent by a caller, because the fleet's headers were
  // forwarded from callers.
  it("are not forwarded if only the fleet may set them", () => {
    const forged = {
      [HEADERS.fencingToken]: "9",
      [HEADERS.grantExpires]: "9",
      [HEADERS.partition]: "1",
    };
    expect(selectEndToEndHeaders(forged)).to.deep.equal({});
  });

  it("that may occur only once are read as absent if repeated", () => {
    expect(readSingleHeader({ "set-cookie": ["a", "b"] }, "set-cookie")).to
      .equal(
        undefined,
      );
    expect(readSingleHeader({ host: "a" }, "host")).to.equal("a");
  });
});
