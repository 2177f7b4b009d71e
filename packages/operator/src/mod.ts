/**
 * The operators' command line.
 *
 * @module
 */
export { createCommandLine } from "./command_line.ts";
export { EXIT_CODES } from "./exit_codes.ts";
