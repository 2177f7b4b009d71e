/**
 * A request between daemons, for tests.
 *
 * @module
 */
import type { Work } from "../work.ts";

/** A request without a key and without a body. */
export const WORK: Work = {
  id: "a1",
  service: "rooms",
  route: "browse",
  rank: 2,
  isIdempotent: true,
  key: undefined,
  callerService: "desk",
  objectiveAtMs: 300,
  deadlineAtMs: 800,
  mayEndLate: true,
  lostRuns: 0,
  method: "GET",
  target: "/rooms/7",
  headers: ["host", "rooms.example"],
  body: undefined,
};
