/**
 * Finds the service, the operation, the key, the partition and the owner of a request. All functions are pure and use
 * no sockets, timers or clocks.
 *
 * @module
 */
export { hashKey, partitionOf } from "./partition.ts";
export {
  type Match,
  RequestMatcher,
  type RequestTarget,
} from "./request_matcher.ts";
export { type Assignment, OwnershipTable } from "./ownership_table.ts";
