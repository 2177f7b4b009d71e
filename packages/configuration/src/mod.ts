/**
 * Validates, compares and versions the configuration document.
 *
 * @module
 */
export { type Change, compareDocuments } from "./compare.ts";
export { parseDocument, type Problem, validateDocument } from "./validate.ts";
export { applyDocument, HISTORY_LIMIT } from "./apply.ts";
