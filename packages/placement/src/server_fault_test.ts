/**
 * Tests of which failures are a backend server's own.
 *
 * @module
 */
import { expect } from "chai";
import { isServerFault } from "./server_fault.ts";

describe("isServerFault", () => {
  it("holds where the other servers hardly fail", () => {
    expect(isServerFault(0.02, [0, 0.01, 0.1])).to.equal(true);
    expect(isServerFault(0.6, [0, 0])).to.equal(true);
  });

  it("holds for a server that fails far more than the others", () => {
    expect(isServerFault(0.9, [0.2, 0.1])).to.equal(true);
  });

  // Guards against resends, and the calls that they repeat, while a service that all of them call rejects requests.
  it("does not hold where all fail alike", () => {
    expect(isServerFault(0.2, [0.15, 0.25, 0.2])).to.equal(false);
  });

  it("does not hold where there is no other", () => {
    expect(isServerFault(1, [])).to.equal(false);
  });
});
