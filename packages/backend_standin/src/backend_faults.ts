/**
 * Faults that the backend stand-in shows on demand.
 *
 * @module
 */
import { z } from "zod";

/** Body of `POST /standin/faults`. What is left out goes back to healthy. */
export const BackendFaults = z.strictObject({
  /** Each request takes this long, in milliseconds. */
  service_ms: z.number().min(0).max(60_000).optional(),
  /** Answers are cut in the middle of the body; so many of them. */
  cut_answers: z.int().min(0).default(0),
  /** Every request is refused with status 503. */
  shed: z.boolean().default(false),
  /** No request is answered at all. */
  stuck: z.boolean().default(false),
});
/** Faults in force. */
export type BackendFaults = z.infer<typeof BackendFaults>;
