/**
 * Simulated time for replays in tests.
 *
 * @module
 */
export { EventQueue } from "./event_queue.ts";
