/**
 * Tests of how the admission to a service is applied to the requests of a daemon's callers.
 *
 * @module
 */
import { expect } from "chai";
import type { RankWaits } from "@bamboolink/admission";
import type { EventName, Logger } from "@bamboolink/logger";
import { type MemberReport, MemberView } from "@bamboolink/membership";
import { Metrics } from "@bamboolink/metrics";
import { monotonicMs } from "../clock.ts";
import { createMemberReport } from "../testing/sample_member_report.ts";
import {
  type AdmissibleRequest,
  RequestAdmission,
} from "./request_admission.ts";
import { notRun, type Outcome, type RefusalReason } from "./routed_request.ts";

const OWN_ADDRESS = "10.0.0.1:7000";
const PEER_ADDRESS = "10.0.0.2:7000";
const OTHER_ADDRESS = "10.0.0.3:7000";
const FULL: RankWaits = { onTimeMs: [0, 9_000], lateMs: [0, 9_000] };
const EMPTY: RankWaits = { onTimeMs: [0], lateMs: [0] };
const LOAD = { waitMs: 0, utilization: 1, serviceMs: 100, failureShare: 0 };

function createReport(
  address: string,
  changes: Partial<MemberReport> = {},
): MemberReport {
  return createMemberReport(address, { utilization: 1.2, ...changes });
}

function createRequest(
  changes: Partial<AdmissibleRequest> = {},
): AdmissibleRequest {
  const nowMs = monotonicMs();
  return {
    service: "rooms",
    route: "browse",
    rank: 1,
    key: undefined,
    objectiveAtMs: nowMs + 600,
    deadlineAtMs: nowMs + 1_500,
    ...changes,
  };
}

interface FleetOptions {
  readonly isEnabled?: boolean;
  /** Service of the backend server on this host. */
  readonly ownService?: string;
  readonly ownWaits?: RankWaits;
  readonly ownerOf?: () => string | undefined;
}

/** The admission of a daemon that has received reports of two others, whose backend servers are full. */
class TestFleet {
  readonly logged: EventName[] = [];
  readonly metrics = Metrics.create();
  readonly admission: RequestAdmission;
  private readonly view: MemberView;

  constructor(options: FleetOptions = {}) {
    const { isEnabled = true, ownService = "desk", ownerOf } = options;
    const view = MemberView.create(
      createReport(OWN_ADDRESS, { service: ownService }),
    );
    this.view = view;
    this.admission = RequestAdmission.create({
      logger: {
        log: (event: EventName) => void this.logged.push(event),
      } as unknown as Logger,
      metrics: this.metrics,
      view,
      loadTracker: { typicalMs: () => 100 },
      directory: {
        isKeyed: () => ownerOf !== undefined,
        ownerOf: () => ownerOf?.(),
      },
      backend: { capacity: 6, utilization: 0.5, rankWaits: options.ownWaits },
      isEnabled: () => isEnabled,
      random: () => 0.5,
    });
    const reports = [PEER_ADDRESS, OTHER_ADDRESS].map((address) =>
      createReport(address)
    );
    view.merge(reports, monotonicMs());
    this.admission.recordReports(reports, monotonicMs());
    [PEER_ADDRESS, OTHER_ADDRESS].forEach((address) =>
      this.recordWaits(address, FULL)
    );
  }

  /** Receives, 0.6 s from now, a report of full queues, after digests have shown four later ones. */
  receiveOldReport(daemon: string): void {
    const report = createReport(daemon, {
      sequence: 2,
      rankWaitsMs: [...FULL.onTimeMs],
      lateRankWaitsMs: [...FULL.lateMs],
    });
    const nowMs = monotonicMs() + 600;
    const digests = MemberView.create({ ...report, sequence: 6 })
      .chooseDigests({ nowMs, random: () => 0.5 });
    this.view.mergeDigests(digests, nowMs);
    this.admission.recordReports(this.view.merge([report], nowMs), nowMs);
  }

  recordWaits(daemon: string, rankWaits: RankWaits): void {
    this.admission.recordLoad(daemon, { ...LOAD, rankWaits }, monotonicMs());
  }
}

function refusal(reason: RefusalReason) {
  return notRun(reason, { waitMs: 200 }) as Extract<
    Outcome,
    { kind: "not_run" }
  >;
}

describe("RequestAdmission", () => {
  describe("while no backend server is expected to serve a request", () => {
    it("refuses it without an attempt, and states when to come back", () => {
      const { admission, logged } = new TestFleet();
      const refused = admission.refuse(createRequest())!;
      expect(refused.attempts).to.equal(0);
      expect(refused.outcome).to.include({
        kind: "not_run",
        reason: "overloaded",
      });
      expect(refused.retryAfterMs).to.be.within(400, 500);
      expect(logged).to.deep.equal(["service_refused"]);
    });

    it("counts each refusal, and logs them at most once a second", async () => {
      const { admission, logged, metrics } = new TestFleet();
      [1, 2, 3].forEach(() => admission.refuse(createRequest()));
      expect(logged).to.have.length(1);
      expect(await metrics.readCounters()).to.deep.equal([{
        name: "bamboolink_admission_refusals",
        labels: { service: "rooms" },
        value: 3,
      }]);
    });
  });

  describe("when a report arrives that its daemon made seconds ago", () => {
    // Guards against refusals beside idle servers: reports are forwarded by other daemons, and a later outcome has shown
    // that the server has room.
    it("keeps what a later outcome has shown", () => {
      const fleet = new TestFleet();
      fleet.recordWaits(OTHER_ADDRESS, EMPTY);
      fleet.receiveOldReport(OTHER_ADDRESS);
      expect(fleet.admission.refuse(createRequest())).to.equal(undefined);
    });
  });

  describe("while one backend server has room", () => {
    it("admits a request if it is another daemon's", () => {
      const fleet = new TestFleet();
      fleet.recordWaits(OTHER_ADDRESS, EMPTY);
      expect(fleet.admission.refuse(createRequest())).to.equal(undefined);
    });

    it("admits a request if it is the one on this host", () => {
      const { admission } = new TestFleet({
        ownService: "rooms",
        ownWaits: EMPTY,
      });
      expect(admission.refuse(createRequest())).to.equal(undefined);
    });

    it("refuses a request for a key that another one owns", () => {
      const fleet = new TestFleet({ ownerOf: () => PEER_ADDRESS });
      fleet.recordWaits(OTHER_ADDRESS, EMPTY);
      const request = createRequest({ key: 7 });
      expect(fleet.admission.refuse(request)?.attempts).to.equal(0);
    });
  });

  describe("for a key without a known owner", () => {
    // Guards against refusals for lack of capacity while a key moves: another server is about to hold it.
    it("leaves the request to the attempts", () => {
      const { admission } = new TestFleet({ ownerOf: () => undefined });
      const request = createRequest({ key: 7 });
      expect(admission.refuse(request)).to.equal(undefined);
      expect(admission.retryAfterMs(request, refusal("overloaded")))
        .to.equal(undefined);
    });
  });

  describe("after a queue has refused an admitted request", () => {
    it("counts that and reserves a time for its caller", async () => {
      const { admission, metrics } = new TestFleet();
      const retryAfterMs = admission.retryAfterMs(
        createRequest(),
        refusal("queue_full"),
      );
      expect(retryAfterMs).to.equal(200);
      expect(admission.reservationCount).to.equal(1);
      expect(await metrics.readCounters()).to.deep.equal([{
        name: "bamboolink_admission_misses",
        labels: { service: "rooms", reason: "queue_full" },
        value: 1,
      }]);
    });

    it("leaves refusals for other reasons to the usual delays", () => {
      const { admission } = new TestFleet();
      expect(admission.retryAfterMs(createRequest(), refusal("not_owner")))
        .to.equal(undefined);
    });
  });

  describe("given impossible waits", () => {
    it("logs them and keeps those that it knows", () => {
      const { admission, logged } = new TestFleet();
      const load = { ...LOAD, rankWaits: "malformed" as const };
      admission.recordLoad(OTHER_ADDRESS, load, monotonicMs());
      expect(logged).to.deep.equal(["rank_waits_malformed"]);
      expect(admission.refuse(createRequest())?.attempts).to.equal(0);
    });
  });

  describe("unless the settings call for it", () => {
    it("decides nothing", () => {
      const { admission } = new TestFleet({ isEnabled: false });
      expect(admission.refuse(createRequest())).to.equal(undefined);
      expect(admission.retryAfterMs(createRequest(), refusal("overloaded")))
        .to.equal(undefined);
    });
  });
});
