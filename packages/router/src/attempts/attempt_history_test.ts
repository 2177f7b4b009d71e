/**
 * Tests of the final outcome of a request after several attempts.
 *
 * @module
 */
import { expect } from "chai";
import { AttemptHistory } from "./attempt_history.ts";
import { notRun, type Outcome, unknown } from "./routed_request.ts";

const FAILURE: Outcome = {
  kind: "answer",
  status: 500,
  headers: {},
  body: Buffer.from("failed"),
  isComplete: true,
};

function endAfter(...outcomes: readonly Outcome[]) {
  const history = AttemptHistory.create();
  outcomes.forEach((outcome, index) => history.record(`d${index}`, outcome));
  return history.toFinalOutcome();
}

describe("AttemptHistory", () => {
  describe("without an attempt", () => {
    it("returns that the request has not run", () => {
      expect(endAfter().outcome).to.deep.equal(notRun("no_backend"));
    });
  });

  // Guards against reporting a request that a backend server has run as not run: the response of the first attempt is
  // lost, the retry is refused for overload, and that refusal is returned as the outcome of all attempts.
  describe("when a retry is refused", () => {
    it("returns an unknown outcome after a lost response", () => {
      const lost = unknown("connection_lost");
      expect(endAfter(lost, notRun("overloaded")).outcome).to.equal(lost);
    });

    it("returns the error response of the first backend server", () => {
      expect(endAfter(FAILURE, notRun("no_owner")).outcome).to.equal(FAILURE);
    });
  });

  describe("when all attempts were refused", () => {
    it("returns that the request has not run, with the last daemon", () => {
      const final = endAfter(notRun("overloaded"), notRun("draining"));
      expect(final).to.deep.equal({
        outcome: notRun("draining"),
        peer: "d1",
        attempts: 2,
      });
    });
  });

  describe("when a retry gets a response", () => {
    it("returns that response", () => {
      const response: Outcome = { ...FAILURE, status: 200 };
      expect(endAfter(unknown("connection_lost"), response).outcome)
        .to.equal(response);
    });
  });

  it("counts attempts that reached a backend server, executed there or not", () => {
    const history = AttemptHistory.create();
    history.record("a", notRun("overloaded"));
    history.record("b", notRun("not_executed", { hasArrived: true }));
    history.record("c", unknown("connection_lost"));
    expect(history.sentAttempts).to.equal(2);
    expect([...history.tried]).to.deep.equal(["a", "b", "c"]);
  });
});
