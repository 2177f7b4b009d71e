/**
 * Writes log events. Each event has a number that never changes; `docs/EVENTS.md` lists them all.
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
