/**
 * Exit codes of the command line. They are a stable interface for scripts.
 *
 * @module
 */
import type { BamboolinkError, ErrorCode } from "@bamboolink/errors";

/** Exit codes by meaning. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  invalid: 2,
  conflict: 3,
  unreachable: 4,
  unknownEffect: 5,
  timeout: 6,
} as const;

const EXIT_CODE_BY_ERROR: Partial<Record<ErrorCode, number>> = {
  invalid: EXIT_CODES.invalid,
  not_found: EXIT_CODES.invalid,
  refused: EXIT_CODES.invalid,
  conflict: EXIT_CODES.conflict,
  unreachable: EXIT_CODES.unreachable,
  unknown_effect: EXIT_CODES.unknownEffect,
  timeout: EXIT_CODES.timeout,
};

/** The exit code of an error. */
export function exitCodeOf(error: BamboolinkError): number {
  return EXIT_CODE_BY_ERROR[error.code] ?? EXIT_CODES.failed;
}
