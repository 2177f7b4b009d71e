/**
 * A sample request for tests.
 *
 * @module
 */
import type { RoutedRequest } from "../attempts/routed_request.ts";

/** A request without a key and without a body. */
export const SAMPLE_REQUEST: RoutedRequest = {
  id: "a1",
  service: "rooms",
  route: "browse",
  rank: 2,
  isIdempotent: true,
  key: undefined,
  callerService: "desk",
  objectiveAtMs: 300,
  deadlineAtMs: 800,
  blocksOthers: false,
  brokenConnections: 0,
  method: "GET",
  target: "/rooms/7",
  headers: ["host", "rooms.example"],
  body: undefined,
};
