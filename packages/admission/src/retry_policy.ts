/**
 * Decides whether and when a request is retried.
 *
 * @module
 */
import { backoffMs } from "./backoff.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** The outcome of an attempt, as far as a retry depends on it. */
export interface AttemptSummary {
  /** Whether the request certainly did not run, since no byte of it can have reached a backend server. */
  readonly surelyNotRun: boolean;
  /**
   * Whether the request was refused because of ownership, and a later lookup may return another owner. A request that
   * an overloaded server refused is not retried.
   */
  readonly ownershipMoved: boolean;
}

/** Properties of the request that a retry depends on. */
export interface RetryContext {
  /** Number of attempts so far. */
  readonly attempts: number;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
  readonly idempotent: boolean;
  /** Whether the whole body is buffered, so that it can be sent again. */
  readonly replayable: boolean;
  /** A random number from 0 up to 1, for jitter. */
  readonly random: number;
}

/** Maximum delay before the first retry, in milliseconds. */
const BASE_BACKOFF_MS = 10;
/** Minimum time until the deadline, in milliseconds; with less, an attempt can't be completed. */
const MIN_REMAINING_MS = 2;

/**
 * Decides whether a request is retried after a failed attempt.
 *
 * @returns the delay before the retry in milliseconds, or `undefined` for no retry.
 */
export function decideRetry(
  attempt: AttemptSummary,
  context: RetryContext & { readonly budget: RetryBudget },
): number | undefined {
  const isSafe = attempt.surelyNotRun
    ? attempt.ownershipMoved
    : context.idempotent;
  if (!isSafe || !context.replayable) {
    return undefined;
  }
  const delayMs = backoffMs(context.attempts, {
    baseMs: BASE_BACKOFF_MS,
    random: context.random,
  });
  if (context.remainingMs - delayMs < MIN_REMAINING_MS) {
    return undefined;
  }
  // A request that may have run costs the backend server a second time, so its retry is taken out of the budget.
  const isAllowed = attempt.surelyNotRun || context.budget.tryRetry();
  return isAllowed ? delayMs : undefined;
}
