/**
 * Injected faults of the backend server stand-in.
 *
 * @module
 */
import { z } from "zod";

/** Body of `POST /standin/faults`. An omitted field resets its fault. */
export const BackendFaults = z.strictObject({
  /** Processing time of each request in milliseconds, instead of the stand-in's own. */
  service_ms: z.number().min(0).max(60_000).optional(),
  /** Number of further responses that are truncated in the middle of the body. */
  cut_answers: z.int().min(0).default(0),
  /** Every request is refused with status 503. */
  shed: z.boolean().default(false),
  /** No request gets a response. */
  stuck: z.boolean().default(false),
});
/** The faults currently injected. */
export type BackendFaults = z.infer<typeof BackendFaults>;
