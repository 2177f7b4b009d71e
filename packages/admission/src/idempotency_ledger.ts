/**
 * Remembers recent non-idempotent requests, so that a caller's resend does not run again.
 *
 * What goes wrong without it: an order's answer is lost, the buyer sends the order again, two lots are
 * reserved. It shows as two runs under one idempotency key. The ledger answers a resend with the first
 * answer, and with *unknown* whatever it can't remember: a request first sent before this owner's
 * tenure may have run at the owner before, and one older than the ledger's memory may have run here.
 *
 * @module
 */

/** An answer that is kept for resends. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Uint8Array;
}

/** What a request with an idempotency key may do. */
export type AttemptClaim =
  | { readonly kind: "run" }
  | { readonly kind: "running" }
  | { readonly kind: "answer"; readonly answer: StoredAnswer }
  | {
    readonly kind: "unknown";
    readonly reason: "no_stored_answer" | "before_tenure" | "before_memory";
  }
  | { readonly kind: "different" };

interface Entry {
  readonly fingerprint: string;
  readonly claimedAtMs: number;
  state: "running" | "answered" | "unknown";
  answer: StoredAnswer | undefined;
}

/** Bounds of a ledger. */
export interface IdempotencyLimits {
  /** How long a request is remembered, in milliseconds. */
  readonly memoryMs: number;
  /** The most requests that are remembered. */
  readonly entries: number;
  /** The most by which the wall clocks of callers and hosts may differ, in milliseconds. */
  readonly clockSkewMs: number;
}

/** Remembers the requests of one owner. */
export class IdempotencyLedger {
  private readonly entries = new Map<string, Entry>();
  /** Requests first sent before this wall-clock time may have been forgotten. */
  private remembersSinceMs = -Infinity;

  private constructor(private readonly limits: IdempotencyLimits) {}

  /** Creates an empty ledger. */
  static create(limits: IdempotencyLimits): IdempotencyLedger {
    return new IdempotencyLedger(limits);
  }

  /** How many requests are remembered. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Claims the right to run.
   *
   * @param request `fingerprint` tells one request from another that wrongly bears the same key;
   *   `firstAttempt` is the caller's word that it has not sent this request before.
   * @param at wall-clock times in milliseconds: now, and since when this owner owns the partition.
   */
  claim(
    request: {
      name: string;
      fingerprint: string;
      firstSentMs: number;
      firstAttempt: boolean;
    },
    at: { nowMs: number; tenureSinceMs: number },
  ): AttemptClaim {
    this.forgetOld(at.nowMs);
    const known = this.entries.get(request.name);
    if (known !== undefined) {
      return claimAgain(known, request.fingerprint);
    }
    if (request.firstSentMs <= this.remembersSinceMs) {
      return { kind: "unknown", reason: "before_memory" };
    }
    if (
      !request.firstAttempt &&
      request.firstSentMs <= at.tenureSinceMs + this.limits.clockSkewMs
    ) {
      return { kind: "unknown", reason: "before_tenure" };
    }
    const entry: Entry = {
      fingerprint: request.fingerprint,
      claimedAtMs: at.nowMs,
      state: "running",
      answer: undefined,
    };
    this.entries.set(request.name, entry);
    return { kind: "run" };
  }

  /** Keeps the answer of a request that ran. */
  recordAnswer(name: string, answer: StoredAnswer | undefined): void {
    const entry = this.entries.get(name);
    if (entry !== undefined) {
      entry.state = answer === undefined ? "unknown" : "answered";
      entry.answer = answer;
    }
  }

  /** Notes that a request may or may not have run. */
  recordUnknown(name: string): void {
    this.recordAnswer(name, undefined);
  }

  /** Frees a claim of a request that surely did not run, so that a resend may. */
  release(name: string): void {
    this.entries.delete(name);
  }

  private forgetOld(nowMs: number): void {
    const oldest = nowMs - this.limits.memoryMs;
    // Entries stand in the order of their claims, so the first one that stays ends the search.
    for (const [name, entry] of this.entries) {
      const surplus = this.entries.size >= this.limits.entries;
      if (
        entry.state === "running" || (entry.claimedAtMs > oldest && !surplus)
      ) {
        break;
      }
      this.entries.delete(name);
      // A resend of what is forgotten here was first sent, by its caller's clock, at most this late.
      this.remembersSinceMs = Math.max(
        this.remembersSinceMs,
        entry.claimedAtMs + this.limits.clockSkewMs,
      );
    }
  }
}

function claimAgain(known: Entry, fingerprint: string): AttemptClaim {
  if (known.fingerprint !== fingerprint) {
    return { kind: "different" };
  }
  if (known.state === "running") {
    return { kind: "running" };
  }
  return known.answer === undefined
    ? { kind: "unknown", reason: "no_stored_answer" }
    : { kind: "answer", answer: known.answer };
}
