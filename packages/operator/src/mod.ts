/**
 * Command line for operators.
 *
 * @module
 */
export { createCommandLine } from "./command_line.ts";
export { EXIT_CODES } from "./exit_codes.ts";
