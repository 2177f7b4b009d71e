/**
 * Log events. Each has a number that never changes; `docs/EVENTS.md` is their catalogue.
 *
 * @module
 */
export {
  type EventDefinition,
  type EventName,
  EVENTS,
  type Severity,
} from "./events.ts";
export { type LogFormat, Logger } from "./logger.ts";
