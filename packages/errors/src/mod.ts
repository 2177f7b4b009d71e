/**
 * Errors of bamboolink. Each names the step at which it arose and the peer that was being spoken to,
 * so that one log line is enough to know where to look.
 *
 * @module
 */
export {
  BamboolinkError,
  describeCause,
  type ErrorCode,
  type ErrorDetails,
} from "./bamboolink_error.ts";
