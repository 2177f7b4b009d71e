/**
 * Tests of the attempts at a request whose key has one owner.
 *
 * @module
 */
import { expect } from "chai";
import { FleetRetryBudget } from "@bamboolink/admission";
import type { Logger } from "@bamboolink/logger";
import { MemberView } from "@bamboolink/membership";
import type { LocalBackend } from "../backend/local_backend.ts";
import type { RequestQuarantine } from "../backend/request_quarantine.ts";
import { monotonicMs } from "../clock.ts";
import type { OwnershipDirectory } from "../keys/ownership_directory.ts";
import { createMemberReport } from "../testing/sample_member_report.ts";
import { SAMPLE_REQUEST } from "../testing/sample_request.ts";
import { BackendLoadTracker } from "./backend_load_tracker.ts";
import { Cancellation } from "./cancellation.ts";
import type { Forwarder } from "./forwarder.ts";
import { RequestRunner } from "./request_runner.ts";
import { notRun, type Outcome, type RoutedRequest } from "./routed_request.ts";

const OWN_ADDRESS = "10.0.0.1:7000";
const OWNER_ADDRESS = "10.0.0.2:7000";
const ANSWER: Outcome = {
  kind: "answer",
  status: 200,
  headers: {},
  body: Buffer.from("{}"),
  isComplete: true,
};
const REJECTED = notRun("not_executed", { hasArrived: true });

/** Runs one request for a key whose owner returns the outcomes in turn; returns what was sent and the result. */
async function runAtOwner(
  outcomes: readonly Outcome[],
  settings: { resendRatio: number },
) {
  const view = MemberView.create(createMemberReport(OWN_ADDRESS));
  view.merge([createMemberReport(OWNER_ADDRESS)], monotonicMs());
  const sentTo: string[] = [];
  let ownerLookups = 0;
  const runner = RequestRunner.create({
    logger: { log: () => undefined } as unknown as Logger,
    view,
    loadTracker: BackendLoadTracker.create(),
    directory: {
      isKeyed: () => true,
      ownerOf: () => {
        ownerLookups += 1;
        return OWNER_ADDRESS;
      },
    } as unknown as OwnershipDirectory,
    backend: {} as LocalBackend,
    forwarder: {
      forward: (_request: RoutedRequest, { daemon }: { daemon: string }) => {
        sentTo.push(daemon);
        return Promise.resolve(outcomes[sentTo.length - 1] ?? ANSWER);
      },
    } as unknown as Forwarder,
    quarantine: {
      classify: () => ({ kind: "clear" }),
      mayRetry: () => true,
    } as unknown as RequestQuarantine,
    budget: FleetRetryBudget.create({
      ratio: settings.resendRatio,
      extra: 0,
      windowMs: 10_000,
    }),
    crossZoneMsPerKilobyte: () => 2,
    leastUrgentRankOf: () => 2,
    random: () => 0.5,
  });
  const startedAtMs = monotonicMs();
  const request = {
    ...SAMPLE_REQUEST,
    key: 7,
    isIdempotent: false,
    objectiveAtMs: startedAtMs + 600,
    deadlineAtMs: startedAtMs + 5_000,
  };
  const { outcome } = await runner.run(request, {
    maximumAttempts: 2,
    cancellation: Cancellation.create(),
  });
  return { sentTo, outcome, ownerLookups };
}

describe("RequestRunner", () => {
  describe("for a key whose owner rejects a request without running it", () => {
    it("tries the owner again", async () => {
      const { sentTo, outcome } = await runAtOwner([REJECTED], {
        resendRatio: 10,
      });
      expect(sentTo).to.deep.equal([OWNER_ADDRESS, OWNER_ADDRESS]);
      expect(outcome).to.equal(ANSWER);
    });

    it("tries it no more often than the route allows", async () => {
      const { sentTo, outcome } = await runAtOwner([REJECTED, REJECTED], {
        resendRatio: 10,
      });
      expect(sentTo).to.have.length(2);
      expect(outcome).to.equal(REJECTED);
    });

    // Guards against a refusal that arrives after the latency objective: the daemon waits 0.7 s for another owner.
    it("refuses the request at once if the retry budget is used up", async () => {
      const { sentTo, outcome, ownerLookups } = await runAtOwner([REJECTED], {
        resendRatio: 0,
      });
      expect(sentTo).to.have.length(1);
      expect(outcome).to.equal(REJECTED);
      expect(ownerLookups).to.be.at.most(2);
    });
  });
});
