/**
 * Tests of which failures are the fault of a backend server.
 *
 * @module
 */
import { expect } from "chai";
import { isServerFault } from "./server_fault.ts";

describe("isServerFault", () => {
  it("returns true where the other servers hardly fail", () => {
    expect(isServerFault(0.02, [0, 0.01, 0.1])).to.equal(true);
    expect(isServerFault(0.6, [0, 0])).to.equal(true);
  });

  it("returns true for a server that fails far more often than the others", () => {
    expect(isServerFault(0.9, [0.2, 0.1])).to.equal(true);
  });

  // Guards against retries, and the calls that they repeat, while a service that all servers call rejects requests.
  it("returns false where all servers fail alike", () => {
    expect(isServerFault(0.2, [0.15, 0.25, 0.2])).to.equal(false);
  });

  it("returns false where there is no other server", () => {
    expect(isServerFault(1, [])).to.equal(false);
  });
});
