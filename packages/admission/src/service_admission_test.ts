/**
 * Tests of the admission decision for a service.
 *
 * @module
 */
import { expect } from "chai";
import type { RankWaits } from "./rank_waits.ts";
import { type AdmissionQuery, ServiceAdmission } from "./service_admission.ts";

const NOW_MS = 10_000;
/** Waits with which no request of the tests meets its deadline. */
const FULL: RankWaits = { onTimeMs: [0, 3_000], lateMs: [0, 3_000] };
const EMPTY: RankWaits = { onTimeMs: [0], lateMs: [0] };

function query(changes: Partial<AdmissionQuery> = {}): AdmissionQuery {
  return {
    service: "rooms",
    rank: 1,
    objectiveRemainingMs: 600,
    remainingMs: 1_500,
    serviceMs: 100,
    owner: undefined,
    ...changes,
  };
}

/** Creates an instance that has just received the waits of some servers; by default it sends no probes. */
function admissionWith(
  servers: Record<string, RankWaits | undefined>,
  options: { ageMs?: number; random?: number } = {},
): ServiceAdmission {
  const { ageMs = 0, random = 0.5 } = options;
  const admission = ServiceAdmission.create(() => random);
  admission.recordContact(NOW_MS);
  Object.entries(servers).forEach(([daemon, waits]) => {
    admission.recordStatus(daemon, {
      service: "rooms",
      acceptsRequests: true,
      capacity: 6,
      utilization: 1.2,
    });
    admission.recordWaits(daemon, { waits, measuredAtMs: NOW_MS - ageMs });
  });
  return admission;
}

function kindOf(
  admission: ServiceAdmission,
  changed?: Partial<AdmissionQuery>,
) {
  return admission.decide(query(changed), NOW_MS).kind;
}

describe("ServiceAdmission", () => {
  describe("with fresh reports of all servers", () => {
    it("refuses what none of them is expected to finish in time", () => {
      const admission = admissionWith({ one: FULL, two: FULL });
      expect(admission.decide(query(), NOW_MS)).to.include({
        kind: "refuse",
        waitMs: 3_000,
      });
    });

    it("admits a request that one of them can serve", () => {
      expect(kindOf(admissionWith({ one: FULL, two: EMPTY }))).to.equal(
        "admit",
      );
    });

    // Guards against urgent requests being refused because others fill the queues.
    it("admits a more urgent request to the same servers", () => {
      expect(kindOf(admissionWith({ one: FULL }), { rank: 0 }))
        .to.equal("admit");
    });

    it("refuses a request that misses its objective if late requests wait too long", () => {
      const waits = { onTimeMs: [550], lateMs: [3_000] };
      const admission = admissionWith({ one: waits });
      expect(kindOf(admission)).to.equal("refuse");
      expect(kindOf(admission, { objectiveRemainingMs: 900 })).to.equal(
        "admit",
      );
    });
  });

  describe("for a key", () => {
    it("considers only its owner", () => {
      const admission = admissionWith({ one: FULL, two: EMPTY });
      expect(kindOf(admission, { owner: "one" })).to.equal("refuse");
      expect(kindOf(admission, { owner: "two" })).to.equal("admit");
    });

    it("admits a request if nothing is known of its owner", () => {
      expect(kindOf(admissionWith({ one: FULL }), { owner: "new" }))
        .to.equal("admit");
    });
  });

  describe("with information that is old or missing", () => {
    it("admits everything if a server has not reported waits", () => {
      expect(kindOf(admissionWith({ one: FULL, two: undefined })))
        .to.equal("admit");
    });

    it("admits everything if the waits are older than 1 s", () => {
      expect(kindOf(admissionWith({ one: FULL }, { ageMs: 1_001 })))
        .to.equal("admit");
    });

    // Guards against refusals by a queue that has been drained since its wait was reported.
    it("admits what could be served if the queue had drained since the report", () => {
      const waits = { onTimeMs: [1_700], lateMs: [1_700] };
      expect(kindOf(admissionWith({ one: waits }))).to.equal("refuse");
      expect(kindOf(admissionWith({ one: waits }, { ageMs: 400 })))
        .to.equal("admit");
    });

    it("keeps newer waits when an older report arrives later", () => {
      const admission = admissionWith({ one: FULL });
      admission.recordWaits("one", {
        waits: EMPTY,
        measuredAtMs: NOW_MS - 300,
      });
      expect(kindOf(admission)).to.equal("refuse");
    });

    it("ignores waits of a server of which nothing else is known", () => {
      const admission = admissionWith({ one: FULL });
      admission.recordWaits("two", { waits: EMPTY, measuredAtMs: NOW_MS });
      expect(kindOf(admission)).to.equal("refuse");
    });
  });

  describe("of a daemon that receives no reports", () => {
    // Guards against a daemon that is cut off from the others and refuses by what it knew before.
    it("admits as if it were alone after 1 s", () => {
      const admission = admissionWith({ one: FULL });
      expect(admission.decide(query(), NOW_MS + 900).kind).to.equal("refuse");
      expect(admission.decide(query(), NOW_MS + 1_001).kind).to.equal("admit");
    });
  });

  describe("for servers that come and go", () => {
    it("ignores a server that accepts no requests", () => {
      const admission = admissionWith({ one: FULL, two: EMPTY });
      admission.recordStatus("two", {
        service: "rooms",
        acceptsRequests: false,
        capacity: 6,
        utilization: 0,
      });
      expect(kindOf(admission)).to.equal("refuse");
    });

    it("leaves a request without any server to the attempts", () => {
      expect(kindOf(admissionWith({}))).to.equal("admit");
    });

    it("forgets a server that runs another service now, and daemons that are not alive", () => {
      const admission = admissionWith({ one: FULL, two: EMPTY, three: EMPTY });
      admission.recordStatus("two", {
        service: "desk",
        acceptsRequests: true,
        capacity: 6,
        utilization: 0,
      });
      admission.retain((daemon) => daemon !== "three");
      expect(kindOf(admission)).to.equal("refuse");
    });
  });

  describe("with a share of probes", () => {
    it("sends some of the requests to be refused", () => {
      expect(kindOf(admissionWith({ one: FULL }, { random: 0.01 })))
        .to.equal("admit");
    });
  });

  describe("for refused callers", () => {
    it("spaces their retries by this daemon's share of the arrivals", () => {
      const admission = admissionWith({ one: FULL });
      // A quarter of the 7,200 ms of work a second that the server is offered.
      Array.from(
        { length: 26 },
        () => admission.decide(query({ rank: 0 }), NOW_MS),
      );
      const [first, second] = [1, 2].map(() =>
        admission.scheduleReturn(query(), { waitMs: 100, nowMs: NOW_MS })
      );
      expect(first).to.equal(100);
      expect(second! - first!).to.be.within(60, 75);
    });

    it("never asks them to wait for more than a third of their time", () => {
      const verdict = admissionWith({ one: FULL }).decide(query(), NOW_MS);
      expect(verdict.kind === "refuse" && verdict.retryAfterMs)
        .to.be.within(400, 500);
    });
  });
});
