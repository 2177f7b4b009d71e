/**
 * Admission control and retry limits for one backend server. No I/O: time and randomness are parameters, and callers
 * carry out the returned decisions.
 *
 * @module
 */
export {
  type SlotDecision,
  SlotQueue,
  type SlotQueueLimits,
  type SlotRequest,
} from "./slot_queue.ts";
export {
  type AttemptClaim,
  IdempotencyLedger,
  type StoredResponse,
} from "./idempotency_ledger.ts";
export { RetryBudget } from "./retry_budget.ts";
export { backoffMs, retryAfterMs } from "./backoff.ts";
export { readFirstSentMs } from "./idempotency_key.ts";
export {
  type AttemptSummary,
  decideRetry,
  type RetryContext,
} from "./retry_policy.ts";
export {
  type AdmissionDecision,
  type QueueChanges,
  type QueueRefusalReason,
  WorkQueue,
} from "./work_queue.ts";
export type { ColdEstimate, WorkRequest } from "./work_request.ts";
export {
  ColdStartEstimator,
  type RunningColdRequest,
  type ServiceEstimate,
} from "./cold_start_estimator.ts";
export { StartRateLimiter } from "./start_rate_limiter.ts";
export {
  AdvertisedLimitTracker,
  type LimitChange,
  type LimitObservation,
} from "./advertised_limit_tracker.ts";
export {
  type RunningWork,
  ServerLoadEstimator,
} from "./server_load_estimator.ts";
export { ServiceTimes } from "./service_times.ts";
export {
  FleetRetryBudget,
  type FleetRetryLimits,
} from "./fleet_retry_budget.ts";
export { createRetryAfterSampler } from "./retry_after.ts";
export {
  type BodyDecision,
  type BodyGrant,
  BodyScheduler,
  type OfferedBody,
} from "./body_scheduler.ts";
export { BandwidthPacer, type WaitingResponse } from "./bandwidth_pacer.ts";
