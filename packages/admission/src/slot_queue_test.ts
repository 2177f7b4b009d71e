/**
 * Property tests of the request queue of a backend server.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { SlotQueue, type SlotRequest } from "./slot_queue.ts";

const SEED = 11;
const LIMITS = { slots: 3, length: 5 };

const event = fc.record({
  kind: fc.constantFrom("offer", "finish", "cancel", "advance"),
  priority: fc.constantFrom("interactive" as const, "batch" as const),
  elapsedMs: fc.nat(20),
  timeoutMs: fc.nat(100),
  choice: fc.nat(20),
});

describe("SlotQueue", () => {
  describe("under any sequence of requests, ends, cancellations and time", () => {
    it("keeps its bounds, ends each request once, and starts none past its deadline", () => {
      const property = fc.property(
        fc.array(event, { maxLength: 80 }),
        (events) => {
          const queue = SlotQueue.create(LIMITS);
          const running = new Set<string>();
          const waiting = new Map<string, SlotRequest>();
          const ended = new Set<string>();
          let nowMs = 0;
          const markRunning = (id: string) => {
            expect(nowMs).to.be.at.most(
              (waiting.get(id) as SlotRequest).deadlineMs,
            );
            waiting.delete(id);
            running.add(id);
          };
          const markEnded = (id: string) => {
            expect(ended.has(id)).to.equal(false);
            waiting.delete(id);
            ended.add(id);
          };
          const apply = (changes: ReturnType<SlotQueue["advance"]>) => {
            changes.run.forEach(markRunning);
            changes.refuse.forEach(({ id }) => markEnded(id));
          };
          events.forEach(
            ({ kind, priority, elapsedMs, timeoutMs, choice }, index) => {
              nowMs += elapsedMs;
              if (kind === "offer") {
                const request = {
                  id: String(index),
                  priority,
                  deadlineMs: nowMs + timeoutMs,
                };
                const { decision, displaced } = queue.offer(request, nowMs);
                displaced.forEach(markEnded);
                if (decision.kind === "run") {
                  running.add(request.id);
                } else if (decision.kind === "wait") {
                  waiting.set(request.id, request);
                } else {
                  markEnded(request.id);
                }
              } else if (kind === "finish" && running.size > 0) {
                const id = [...running][choice % running.size] as string;
                running.delete(id);
                ended.add(id);
                apply(queue.finish(id, { nowMs, tookMs: elapsedMs }));
              } else if (kind === "cancel" && waiting.size > 0) {
                const id = [...waiting.keys()][choice % waiting.size] as string;
                expect(queue.cancel(id)).to.equal(true);
                markEnded(id);
              } else if (kind === "advance") {
                apply(queue.advance(nowMs));
              }
              expect(queue.runningCount).to.equal(running.size).and.at.most(
                LIMITS.slots,
              );
              expect(queue.waitingCount).to.equal(waiting.size).and.at.most(
                LIMITS.length,
              );
            },
          );
        },
      );
      fc.assert(property, { seed: SEED, numRuns: 1_000 });
    });
  });

  describe("when it is full", () => {
    it("displaces the last batch request for an interactive one, never the reverse", () => {
      const queue = SlotQueue.create({ slots: 1, length: 1 });
      const offer = (id: string, priority: "interactive" | "batch") =>
        queue.offer({ id, priority, deadlineMs: 1_000 }, 0);
      offer("running", "interactive");
      expect(offer("report", "batch").decision.kind).to.equal("wait");
      expect(offer("quote", "interactive").displaced).to.deep.equal(["report"]);
      expect(offer("late report", "batch").decision).to.include({
        kind: "refuse",
        reason: "queue_full",
      });
    });
  });

  describe("when the wait would exceed the deadline", () => {
    // Guards against callers waiting until their deadline for a refusal under overload: the queue is longer than can
    // be served before the latest deadline, and admission ignores the requests ahead.
    it("refuses at once and returns the expected wait", () => {
      const queue = SlotQueue.create({ slots: 1, length: 100 });
      queue.offer(
        { id: "first", priority: "interactive", deadlineMs: 1_000 },
        0,
      );
      queue.finish("first", { nowMs: 100, tookMs: 100 });
      ["a", "b", "c"].forEach((id) =>
        queue.offer({ id, priority: "interactive", deadlineMs: 1_000 }, 100)
      );
      const { decision } = queue.offer({
        id: "late",
        priority: "interactive",
        deadlineMs: 300,
      }, 100);
      expect(decision).to.deep.equal({
        kind: "refuse",
        reason: "too_late",
        waitMs: 300,
      });
    });
  });
});
