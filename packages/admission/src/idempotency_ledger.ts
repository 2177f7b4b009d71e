/**
 * Keeps recent non-idempotent requests, so that a caller's retry does not run again.
 *
 * Without it, a request may run twice under one idempotency key: its response is lost, the caller sends it again, and
 * it takes effect twice. The ledger returns the first response to a retry, and *unknown* for requests that it can't
 * have a record of: a request first sent before this owner's ownership lease may have run at the previous owner, and
 * one older than the retention period may have run here.
 *
 * @module
 */

/** A response that is kept for retries. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Uint8Array;
}

/** Whether a request with an idempotency key may run, or why not. */
export type AttemptClaim =
  | { readonly kind: "run" }
  | { readonly kind: "running" }
  | { readonly kind: "answer"; readonly response: StoredResponse }
  | {
    readonly kind: "unknown";
    readonly reason: "no_stored_answer" | "before_tenure" | "before_memory";
  }
  | { readonly kind: "different" };

interface LedgerEntry {
  readonly fingerprint: string;
  readonly claimedAtMs: number;
  state: "running" | "answered" | "unknown";
  storedResponse: StoredResponse | undefined;
}

/** Limits of a ledger. */
export interface IdempotencyLimits {
  /** Retention period of a request, in milliseconds. */
  readonly retentionMs: number;
  /** Maximum number of requests that are kept. */
  readonly entries: number;
  /** Maximum difference between the wall clocks of callers and hosts, in milliseconds. */
  readonly clockSkewMs: number;
}

/** The recent non-idempotent requests of one owner. */
export class IdempotencyLedger {
  private readonly entries = new Map<string, LedgerEntry>();
  /** Requests first sent up to this wall-clock time may have been evicted. */
  private evictedUpToMs = -Infinity;

  private constructor(private readonly limits: IdempotencyLimits) {}

  /** Creates an empty ledger. */
  static create(limits: IdempotencyLimits): IdempotencyLedger {
    return new IdempotencyLedger(limits);
  }

  /** Number of requests that are kept. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Claims the right to run a request.
   *
   * @param request `idempotencyKey` identifies the request at this owner, also among those of other services and keys;
   *   `fingerprint` distinguishes another request that wrongly uses the same key; `firstAttempt` states
   *   that the caller has not sent this request before.
   * @param at wall-clock times in milliseconds: now, and since when this owner has owned the partition of the request
   *   (`leaseStartedAtMs`).
   */
  claim(
    request: {
      idempotencyKey: string;
      fingerprint: string;
      firstSentMs: number;
      firstAttempt: boolean;
    },
    at: { nowMs: number; leaseStartedAtMs: number },
  ): AttemptClaim {
    this.evictOld(at.nowMs);
    const known = this.entries.get(request.idempotencyKey);
    if (known !== undefined) {
      return claimForRetry(known, request.fingerprint);
    }
    if (request.firstSentMs <= this.evictedUpToMs) {
      return { kind: "unknown", reason: "before_memory" };
    }
    if (
      !request.firstAttempt &&
      request.firstSentMs <= at.leaseStartedAtMs + this.limits.clockSkewMs
    ) {
      return { kind: "unknown", reason: "before_tenure" };
    }
    const entry: LedgerEntry = {
      fingerprint: request.fingerprint,
      claimedAtMs: at.nowMs,
      state: "running",
      storedResponse: undefined,
    };
    this.entries.set(request.idempotencyKey, entry);
    return { kind: "run" };
  }

  /** Stores the response of a request that ran; `undefined` marks its outcome as unknown. */
  recordResponse(
    idempotencyKey: string,
    response: StoredResponse | undefined,
  ): void {
    const entry = this.entries.get(idempotencyKey);
    if (entry !== undefined) {
      entry.state = response === undefined ? "unknown" : "answered";
      entry.storedResponse = response;
    }
  }

  /** Records that a request may or may not have run. */
  recordUnknown(idempotencyKey: string): void {
    this.recordResponse(idempotencyKey, undefined);
  }

  /** Releases the claim of a request that certainly did not run, so that a retry may run. */
  release(idempotencyKey: string): void {
    this.entries.delete(idempotencyKey);
  }

  private evictOld(nowMs: number): void {
    const cutoffMs = nowMs - this.limits.retentionMs;
    // Entries are in the order of their claims, so the first one that is kept ends the search.
    for (const [idempotencyKey, entry] of this.entries) {
      const isFull = this.entries.size >= this.limits.entries;
      if (
        entry.state === "running" || (entry.claimedAtMs > cutoffMs && !isFull)
      ) {
        break;
      }
      this.entries.delete(idempotencyKey);
      // The latest time, by its caller's clock, at which the evicted request can have been sent first.
      this.evictedUpToMs = Math.max(
        this.evictedUpToMs,
        entry.claimedAtMs + this.limits.clockSkewMs,
      );
    }
  }
}

function claimForRetry(known: LedgerEntry, fingerprint: string): AttemptClaim {
  if (known.fingerprint !== fingerprint) {
    return { kind: "different" };
  }
  if (known.state === "running") {
    return { kind: "running" };
  }
  return known.storedResponse === undefined
    ? { kind: "unknown", reason: "no_stored_answer" }
    : { kind: "answer", response: known.storedResponse };
}
