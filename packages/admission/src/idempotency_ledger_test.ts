/**
 * Property tests of the ledger of non-idempotent requests, across changes of the owner.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { readFirstSentMs } from "./idempotency_key.ts";
import { IdempotencyLedger } from "./idempotency_ledger.ts";

const SEED = 13;
const LIMITS = { retentionMs: 1_000, entries: 4, clockSkewMs: 50 };

const event = fc.record({
  kind: fc.constantFrom(
    "send",
    "retry",
    "change_owner",
    "answer",
    "forget_answer",
  ),
  elapsedMs: fc.nat(400),
  /** Difference of the caller's clock, in milliseconds. */
  skewMs: fc.integer({ min: -25, max: 25 }),
  choice: fc.nat(30),
});

describe("IdempotencyLedger", () => {
  describe("over retries, owner changes, clock skew and bounded retention", () => {
    it("lets no request run twice", () => {
      const property = fc.property(
        fc.array(event, { maxLength: 60 }),
        (events) => {
          let ledger = IdempotencyLedger.create(LIMITS);
          let nowMs = 10_000;
          let leaseStartedAtMs = nowMs;
          const sent: { idempotencyKey: string; firstSentMs: number }[] = [];
          const runs = new Map<string, number>();
          const claim = (
            request: { idempotencyKey: string; firstSentMs: number },
            firstAttempt: boolean,
          ) => {
            const claimed = ledger.claim({
              ...request,
              fingerprint: request.idempotencyKey,
              firstAttempt,
            }, { nowMs, leaseStartedAtMs });
            if (claimed.kind === "run") {
              runs.set(
                request.idempotencyKey,
                (runs.get(request.idempotencyKey) ?? 0) + 1,
              );
            }
          };
          events.forEach(({ kind, elapsedMs, skewMs, choice }, index) => {
            nowMs += elapsedMs;
            const earlier = sent[choice % Math.max(1, sent.length)];
            if (kind === "send") {
              const request = {
                idempotencyKey: `request-${index}`,
                firstSentMs: nowMs + skewMs,
              };
              sent.push(request);
              claim(request, true);
            } else if (kind === "change_owner") {
              ledger = IdempotencyLedger.create(LIMITS);
              leaseStartedAtMs = nowMs + skewMs;
            } else if (earlier !== undefined && kind === "retry") {
              claim(earlier, false);
            } else if (earlier !== undefined) {
              ledger.recordResponse(
                earlier.idempotencyKey,
                kind === "answer"
                  ? { status: 201, headers: {}, body: new Uint8Array() }
                  : undefined,
              );
            }
            runs.forEach((count, idempotencyKey) =>
              expect(count, idempotencyKey).to.equal(1)
            );
          });
        },
      );
      fc.assert(property, { seed: SEED, numRuns: 2_000 });
    });
  });

  describe("for a retry", () => {
    const request = {
      idempotencyKey: "order",
      fingerprint: "a",
      firstSentMs: 2_000,
      firstAttempt: true,
    };
    const at = { nowMs: 2_000, leaseStartedAtMs: 0 };

    it("returns the first response", () => {
      const ledger = IdempotencyLedger.create(LIMITS);
      const response = { status: 201, headers: {}, body: new Uint8Array([1]) };
      expect(ledger.claim(request, at).kind).to.equal("run");
      expect(ledger.claim(request, at).kind).to.equal("running");
      ledger.recordResponse("order", response);
      expect(ledger.claim(request, at)).to.deep.equal({
        kind: "answer",
        response,
      });
    });

    it("refuses a different request under the same key", () => {
      const ledger = IdempotencyLedger.create(LIMITS);
      ledger.claim(request, at);
      expect(ledger.claim({ ...request, fingerprint: "b" }, at).kind).to.equal(
        "different",
      );
    });

    it("lets it run after the first attempt certainly did not", () => {
      const ledger = IdempotencyLedger.create(LIMITS);
      ledger.claim(request, at);
      ledger.release("order");
      expect(ledger.claim({ ...request, firstAttempt: false }, at).kind).to
        .equal("run");
    });
  });

  describe("readFirstSentMs", () => {
    it("reads the time from a UUID of version 7 and from nothing else", () => {
      expect(readFirstSentMs("018f3b2a-7c00-7abc-8def-0123456789ab")).to.equal(
        0x018f3b2a7c00,
      );
      expect(readFirstSentMs("8a5ab08f-0eab-492d-bba0-7386d677a90f")).to.equal(
        undefined,
      );
      expect(readFirstSentMs("order-1")).to.equal(undefined);
    });
  });
});
