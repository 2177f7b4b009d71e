/**
 * Tests of when the keys of a new service are assigned for the first time.
 *
 * @module
 */
import { expect } from "chai";
import {
  type FirstAssignmentState,
  isFirstAssignmentDue,
} from "./plan_assignment.ts";

const state: FirstAssignmentState = {
  absentDaemons: 0,
  unannouncedBackends: 0,
  candidates: 4,
  uptimeMs: 1_500,
};

describe("the first assignment of a service", () => {
  it("is due once all its backend servers have announced themselves", () => {
    expect(isFirstAssignmentDue(state)).to.equal(true);
  });

  // Guards against one backend server that owns all keys after a start and refuses most of its requests: keys are
  // assigned as soon as all daemons are alive, while other backend servers announce themselves within the next second.
  it("waits for backend servers that have not announced themselves", () => {
    const incomplete = { ...state, unannouncedBackends: 3, candidates: 1 };
    expect(isFirstAssignmentDue(incomplete)).to.equal(false);
  });

  it("waits for known daemons that are not alive", () => {
    expect(isFirstAssignmentDue({ ...state, absentDaemons: 1 })).to.equal(
      false,
    );
  });

  it("is due after a timeout", () => {
    const late = {
      ...state,
      absentDaemons: 1,
      unannouncedBackends: 1,
      uptimeMs: 6_000,
    };
    expect(isFirstAssignmentDue(late)).to.equal(true);
  });

  it("is not due without candidates", () => {
    const none = { ...state, candidates: 0, uptimeMs: 60_000 };
    expect(isFirstAssignmentDue(none)).to.equal(false);
  });
});
