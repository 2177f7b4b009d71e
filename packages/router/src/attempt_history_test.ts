/**
 * Tests of what a caller is told after several attempts.
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
  isFramed: true,
};

function endAfter(...outcomes: readonly Outcome[]) {
  const history = AttemptHistory.create();
  outcomes.forEach((outcome, index) => history.note(`d${index}`, outcome));
  return history.end();
}

describe("attempt history", () => {
  describe("without an attempt", () => {
    it("has not run", () => {
      expect(endAfter().outcome).to.deep.equal(notRun("no_backend"));
    });
  });

  // Symptom: a caller is told that its request has not run; the backend server has run it to the end.
  // Sequence: the answer of the first attempt is lost; the second is refused for overload.
  // Cause: the refusal of the last attempt was passed on as the outcome of all.
  describe("when a resend is refused", () => {
    it("is unknown after a lost answer", () => {
      const lost = unknown("connection_lost");
      expect(endAfter(lost, notRun("overloaded")).outcome).to.equal(lost);
    });

    it("is the failure that the first backend server answered with", () => {
      expect(endAfter(FAILURE, notRun("no_owner")).outcome).to.equal(FAILURE);
    });
  });

  describe("when all attempts were refused", () => {
    it("has not run, and names the last daemon", () => {
      const ending = endAfter(notRun("overloaded"), notRun("draining"));
      expect(ending).to.deep.equal({
        outcome: notRun("draining"),
        peer: "d1",
        attempts: 2,
      });
    });
  });

  describe("when a resend is answered", () => {
    it("has that answer", () => {
      const answer: Outcome = { ...FAILURE, status: 200 };
      expect(endAfter(unknown("connection_lost"), answer).outcome)
        .to.equal(answer);
    });
  });

  it("counts what arrived, also where it was not executed there", () => {
    const history = AttemptHistory.create();
    history.note("a", notRun("overloaded"));
    history.note("b", notRun("not_executed", { hasArrived: true }));
    history.note("c", unknown("connection_lost"));
    expect(history.arrivals).to.equal(2);
    expect([...history.tried]).to.deep.equal(["a", "b", "c"]);
  });
});
