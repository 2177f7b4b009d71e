/**
 * Decides what runs, what waits and what is refused beside one backend server. Pure: time and
 * randomness come in, decisions go out.
 *
 * @module
 */
export {
  SlotQueue,
  type SlotQueueLimits,
  type SlotRequest,
  type SlotVerdict,
} from "./slot_queue.ts";
export {
  type AttemptClaim,
  IdempotencyLedger,
  type StoredAnswer,
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
  type WorkChanges,
  WorkQueue,
  type WorkRefusal,
  type WorkVerdict,
} from "./work_queue.ts";
export type { WorkRequest } from "./work_request.ts";
export { ColdStartPacer } from "./cold_start_pacer.ts";
export { ServiceTimes } from "./service_times.ts";
export { ResendBudget, type ResendLimits } from "./resend_budget.ts";
export { createAnswerSpread } from "./answer_spread.ts";
export { CallerPatience } from "./caller_patience.ts";
export { type LinkDelay, LinkPacer, type WaitingAnswer } from "./link_pacer.ts";
