/**
 * A small stand-in for a backend server, with a ledger of the requests that it ran. For tests, the quickstart
 * and measurements only.
 *
 * @module
 */
export {
  BackendStandin,
  type BackendStandinOptions,
  type Run,
} from "./backend_standin.ts";
export { BackendFaults } from "./backend_faults.ts";
