/**
 * Decides whether a request is tried again, and when.
 *
 * @module
 */
import { backoffMs } from "./backoff.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** What an attempt showed, as far as a retry depends on it. */
export interface AttemptSummary {
  /** Whether no byte can have reached a backend server. */
  readonly surelyNotRun: boolean;
  /**
   * Whether the refusal was about ownership and a later look at the table may show another owner. A
   * server that refused because it is overloaded is not asked again.
   */
  readonly ownershipMoved: boolean;
}

/** What is known of the request. */
export interface RetryContext {
  /** How many attempts were made. */
  readonly attempts: number;
  /** Time that is left, in milliseconds. */
  readonly remainingMs: number;
  readonly idempotent: boolean;
  /** Whether the whole body is at hand to be sent again. */
  readonly replayable: boolean;
  /** A number from 0 up to 1. */
  readonly random: number;
}

/** The first pause, in milliseconds. */
const FIRST_PAUSE_MS = 10;
/** Less than this is left: an attempt can't be of use any more, in milliseconds. */
const LEAST_REMAINING_MS = 2;

/**
 * Decides about a retry.
 *
 * @returns the pause before it in milliseconds, or `undefined` for no retry.
 */
export function decideRetry(
  attempt: AttemptSummary,
  context: RetryContext & { readonly budget: RetryBudget },
): number | undefined {
  const harmless = attempt.surelyNotRun
    ? attempt.ownershipMoved
    : context.idempotent;
  if (!harmless || !context.replayable) {
    return undefined;
  }
  const pauseMs = backoffMs(context.attempts, {
    baseMs: FIRST_PAUSE_MS,
    random: context.random,
  });
  if (context.remainingMs - pauseMs < LEAST_REMAINING_MS) {
    return undefined;
  }
  // Work that may have run costs the backend server a second time, so it comes out of the budget.
  const paid = attempt.surelyNotRun || context.budget.tryRetry();
  return paid ? pauseMs : undefined;
}
