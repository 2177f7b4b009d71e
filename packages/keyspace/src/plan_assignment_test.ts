/**
 * Tests of when the keys of a new service are given out.
 *
 * @module
 */
import { expect } from "chai";
import {
  type FirstAssignmentState,
  isFirstAssignmentDue,
} from "./plan_assignment.ts";

const sight: FirstAssignmentState = {
  unseenDaemons: 0,
  unannouncedBackends: 0,
  candidates: 4,
  uptimeMs: 1_500,
};

describe("the first assignment of a service", () => {
  it("is due once all its backend servers have announced themselves", () => {
    expect(isFirstAssignmentDue(sight)).to.equal(true);
  });

  // Symptom: after a start one backend server owns all keys and refuses most of its requests.
  // Sequence: all daemons are there; the backend servers announce themselves within the next second.
  // Cause: the keys were given out to those that were there, as soon as all daemons were heard.
  it("waits for those that have not announced themselves", () => {
    const first = { ...sight, unannouncedBackends: 3, candidates: 1 };
    expect(isFirstAssignmentDue(first)).to.equal(false);
  });

  it("waits for daemons that were not heard yet", () => {
    expect(isFirstAssignmentDue({ ...sight, unseenDaemons: 1 })).to.equal(
      false,
    );
  });

  it("does not wait for ever", () => {
    const late = {
      ...sight,
      unseenDaemons: 1,
      unannouncedBackends: 1,
      uptimeMs: 6_000,
    };
    expect(isFirstAssignmentDue(late)).to.equal(true);
  });

  it("is not due while nobody takes keys", () => {
    const none = { ...sight, candidates: 0, uptimeMs: 60_000 };
    expect(isFirstAssignmentDue(none)).to.equal(false);
  });
});
