/**
 * An open-loop load generator that checks every response.
 *
 * @module
 */
export { type LoadPlan, LoadRun } from "./load_run.ts";
export { formatReport, type LoadReport } from "./load_report.ts";
export { ArrivalSchedule } from "./arrival_schedule.ts";
export { KeyChooser } from "./key_chooser.ts";
