/**
 * Errors of bamboolink. Each names the step at which it occurred and the remote peer, so that one log
 * line is enough to locate the fault.
 *
 * @module
 */
export {
  BamboolinkError,
  describeCause,
  type ErrorCode,
  type ErrorDetails,
} from "./bamboolink_error.ts";
