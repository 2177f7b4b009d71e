/**
 * The copy of the platform's records that each daemon keeps, and the deltas between copies.
 *
 * @module
 */
export { type Delta, View, type ViewRecord } from "./view.ts";
export {
  type FleetState,
  readFleetState,
  type RecordProblem,
  type Versioned,
} from "./fleet_state.ts";
