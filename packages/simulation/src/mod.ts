/**
 * Simulated time and reproducible randomness for replays in tests.
 *
 * @module
 */
export { EventQueue } from "./event_queue.ts";
export { seededRandom } from "./seeded_random.ts";
