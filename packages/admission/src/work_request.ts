/**
 * The request type of `WorkQueue` and its queue of late requests.
 *
 * @module
 */

/** A request for a slot of a backend server. */
export interface WorkRequest {
  readonly id: number;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  /** Time by which the response should be sent to meet the latency objective, in milliseconds on the daemon's clock. */
  readonly objectiveAtMs: number;
  /** Time after which the response is useless to the caller, in milliseconds on the daemon's clock. */
  readonly deadlineAtMs: number;
  /**
   * Whether the request may be served after its objective. False if other requests wait behind it on its caller's
   * connection: responses are sent in the order of the requests, so a late one would delay those behind it, too.
   */
  readonly mayEndLate: boolean;
  /** Whether its caller was refused before and has come back: it comes before new requests of its rank. */
  readonly isReturning?: boolean;
  /** Expected time for which it holds a slot, in milliseconds. */
  readonly estimateMs: number;
}
