/**
 * Tests of what a backend server is answered when it leaves.
 *
 * @module
 */
import { expect } from "chai";
import {
  GrantTracker,
  OwnershipLease,
  OwnershipRecord,
  type ProbeResult,
} from "@bamboolink/keyspace";
import { Logger } from "@bamboolink/logger";
import {
  BackendManager,
  type EvacuationState,
  type HeartbeatResponse,
} from "./backend_manager.ts";
import { bootMs } from "./clock.ts";
import { LocalBackend } from "./local_backend.ts";
import type {
  BackendHeartbeat,
  BackendProtocol,
} from "./ports/backend_protocol.ts";
import { RequestQuarantine } from "./request_quarantine.ts";

const ADDRESS = "127.0.0.1:9";
const KEYS = { from: 0, to: 99 };

function createEvacuation(): {
  -readonly [Name in keyof EvacuationState]: EvacuationState[Name];
} {
  return {
    isEvacuated: false,
    handOverUntilMs: Infinity,
    awaitSettled: () => Promise.resolve(true),
  };
}

function createKeeper(
  grants: GrantTracker,
  lease: OwnershipLease,
  options: {
    beforeDrain?: () => boolean;
    probe?: () => Promise<ProbeResult>;
    heartbeatMs?: number;
    evacuation?: EvacuationState;
  } = {},
): BackendManager {
  const releaseAll = () => {
    grants.beginRelease(grants.ownRanges);
    return true;
  };
  const logger = Logger.createBounded("test", { level: "error" });
  const protocol = {} as BackendProtocol;
  return BackendManager.create({
    logger,
    backend: LocalBackend.create({
      address: ADDRESS,
      protocol,
      logger,
      grants,
      quarantine: RequestQuarantine.create({
        address: "own",
        logger,
        random: () => 0,
        nowMs: bootMs,
        broadcast: () => undefined,
        sendToSome: () => undefined,
      }),
      onSuspicion: () => undefined,
    }),
    grants,
    lease,
    evacuation: options.evacuation ?? createEvacuation(),
    drainMs: () => 2_000,
    isKeyed: () => true,
    isConfigured: (service) => service === "rooms",
    coldLimit: () => 0,
    heartbeatIntervalMs: () => options.heartbeatMs ?? 1_000,
    probe: options.probe ?? (() => Promise.resolve({ kind: "silent" })),
    mayGrant: () => true,
    onChange: () => undefined,
    onFreed: () => undefined,
    beforeDrain: () => Promise.resolve((options.beforeDrain ?? releaseAll)()),
    onProcessEnded: () => undefined,
    beforeGrant: () => Promise.resolve(),
  });
}

/** A daemon that owns some keys by the record and may grant them. */
function createOwner(): { grants: GrantTracker; lease: OwnershipLease } {
  const grants = GrantTracker.create(bootMs() - 60_000);
  const lease = OwnershipLease.create();
  lease.confirm(bootMs(), { arbiters: [], revision: 1 });
  const record = OwnershipRecord.create()
    .assign([{ ...KEYS, daemon: "own", handover: "" }])
    .withRevision(7);
  grants.applyRecord(record, { daemon: "own", revision: 7 });
  return { grants, lease };
}

function rangesIn(answer: HeartbeatResponse) {
  return answer.kind === "acknowledged" ? answer.grant?.ranges : undefined;
}

describe("backend keeper", () => {
  const heartbeat: BackendHeartbeat = {
    kind: "heartbeat",
    instance: "i-1",
    born: undefined,
    sequence: 1,
    service: "rooms",
    slots: 6,
    isDraining: false,
    coldMs: 0,
    holds: [],
    freed: [],
  };

  describe("when the backend server of some keys leaves", () => {
    // Symptom: keys of a backend server that is emptied have no owner for more than a second.
    // Sequence: it says that it leaves; it is answered with its keys; a heartbeat later, without them.
    // Cause: its keys were given up a tick after the answer that could have said so.
    it("is not granted them any more in the answer that acknowledges it", async () => {
      const { grants, lease } = createOwner();
      const keeper = createKeeper(grants, lease);
      const granted = await keeper.handleHeartbeat(heartbeat);
      expect(rangesIn(granted)).to.have.length(1);
      const leaving = { ...heartbeat, sequence: 2, isDraining: true };
      const answered = await keeper.handleHeartbeat(leaving);
      expect(rangesIn(answered)).to.deep.equal([]);
    });

    // Symptom: the keys of two backend servers that leave have no owner for as long as the store is away.
    // Sequence: the store goes down; the servers say that they leave and are told that this is known; from
    // then on they get no requests, and nobody else can be given their keys.
    // Cause: a leaving was acknowledged although it could not be followed.
    it("is not told so while its keys can't be given to others, and serves on", async () => {
      const { grants, lease } = createOwner();
      const keeper = createKeeper(grants, lease, {
        beforeDrain: () => false,
      });
      await keeper.handleHeartbeat(heartbeat);
      const leaving = { ...heartbeat, sequence: 2, isDraining: true };
      const answered = await keeper.handleHeartbeat(leaving);
      expect(answered.kind).to.equal("unacknowledged");
      expect(keeper.phase).to.equal("ready");
      expect(grants.owns(KEYS.from)).to.equal(true);
    });
  });

  describe("when operators evacuate the availability zone", () => {
    it("gives the keys away with the next answer, and takes work again once the zone is taken back", async () => {
      const { grants, lease } = createOwner();
      const evacuation = createEvacuation();
      const keeper = createKeeper(grants, lease, { evacuation });
      await keeper.handleHeartbeat(heartbeat);
      evacuation.isEvacuated = true;
      keeper.onEvacuationChanged();
      expect(keeper.phase).to.equal("evacuated");
      const answered = await keeper.handleHeartbeat({
        ...heartbeat,
        sequence: 2,
      });
      expect(rangesIn(answered)).to.deep.equal([]);
      expect(keeper.phase).to.equal("evacuated");
      evacuation.isEvacuated = false;
      keeper.onEvacuationChanged();
      expect(keeper.phase).to.equal("ready");
    });

    // Guards against a backend server that leaves an evacuated zone being given work again when the zone is taken back.
    it("leaves a backend server that drains as it is", async () => {
      const { grants, lease } = createOwner();
      const evacuation = createEvacuation();
      const keeper = createKeeper(grants, lease, { evacuation });
      await keeper.handleHeartbeat({ ...heartbeat, isDraining: true });
      evacuation.isEvacuated = true;
      keeper.onEvacuationChanged();
      expect(keeper.phase).to.equal("draining");
      evacuation.isEvacuated = false;
      keeper.onEvacuationChanged();
      expect(keeper.phase).to.equal("draining");
    });

    // Guards against a daemon that starts again giving work to an evacuated server.
    it("acknowledges nothing until it is known what is evacuated", async () => {
      const { grants, lease } = createOwner();
      const evacuation = createEvacuation();
      evacuation.awaitSettled = () => Promise.resolve(false);
      const keeper = createKeeper(grants, lease, { evacuation });
      const answered = await keeper.handleHeartbeat(heartbeat);
      expect(answered.kind).to.equal("unacknowledged");
      expect(keeper.phase).to.equal("absent");
    });
  });

  describe("when a backend server starts again under its id", () => {
    const former = { ...heartbeat, born: 1_000, sequence: 40 };
    const next = { ...heartbeat, born: 2_000, sequence: 1 };

    function createServed(presence: { born: number | undefined }) {
      const { grants, lease } = createOwner();
      const found = { kind: "answered" as const, instance: "i-1", ...presence };
      const keeper = createKeeper(grants, lease, {
        probe: () => Promise.resolve(found),
      });
      return { grants, keeper };
    }

    // Symptom: keys of a restarted backend server are not served until its count has passed the former one.
    // Sequence: it crashes and starts again between two heartbeats, under the id that it had.
    // Cause: its heartbeats were taken for late ones of the former process.
    it("grants its keys to the new process with a higher token", async () => {
      const { keeper } = createServed({ born: 2_000 });
      const [before] = rangesIn(await keeper.handleHeartbeat(former))!;
      const [after] = rangesIn(await keeper.handleHeartbeat(next))!;
      expect(after!.token).to.be.above(before!.token);
    });

    // Symptom: a restarted backend server gets no keys, since a dead process is believed.
    // Sequence: after its first heartbeat comes one that was held back, from the process before.
    // Cause: an incarnation that has ended was not remembered.
    it("drops what the former process had sent", async () => {
      const { keeper } = createServed({ born: 2_000 });
      await keeper.handleHeartbeat(former);
      await keeper.handleHeartbeat(next);
      const held = await keeper.handleHeartbeat({ ...former, sequence: 41 });
      expect(rangesIn(held)).to.equal(undefined);
      const following = await keeper.handleHeartbeat({ ...next, sequence: 2 });
      expect(rangesIn(following)).to.have.length(1);
    });

    // Symptom: two servers hold the same keys.
    // Sequence: a held-back heartbeat passes for a new process; the living one's grant is forgotten, and its keys
    // are written to another owner before it has run out.
    // Cause: an answer that can't tell two processes apart was taken for the end of one.
    it("counts the former process's grant until it has run out where the answer proves nothing", async () => {
      const { grants, lease } = createOwner();
      const keeper = createKeeper(grants, lease, {
        heartbeatMs: 0,
        probe: () =>
          Promise.resolve({
            kind: "answered",
            instance: "i-1",
            born: undefined,
          }),
      });
      await keeper.handleHeartbeat(former);
      await new Promise((resolve) => setTimeout(resolve, 2));
      await keeper.handleHeartbeat(next);
      grants.beginRelease([KEYS]);
      expect(grants.findReleased(bootMs())).to.deep.equal([]);
      expect(grants.findReleased(bootMs() + 6_000)).to.deep.equal([KEYS]);
    });

    it("takes the departure of the former process for nothing", async () => {
      const { keeper } = createServed({ born: 2_000 });
      await keeper.handleHeartbeat(former);
      await keeper.handleHeartbeat(next);
      keeper.handleDeparture({
        kind: "departure",
        instance: "i-1",
        born: 1_000,
      });
      expect(keeper.phase).to.equal("ready");
    });
  });

  describe("when a heartbeat names a service that nobody configured", () => {
    // Symptom: the keys of a living backend server are given up, or it gets no requests.
    // Sequence: another writer sends a well-formed heartbeat of a service that does not exist.
    // Cause: the service of the last heartbeat was taken for the server's, whatever it was.
    it("changes nothing and is not acknowledged", async () => {
      const { grants, lease } = createOwner();
      const keeper = createKeeper(grants, lease);
      await keeper.handleHeartbeat(heartbeat);
      const answer = await keeper.handleHeartbeat({
        ...heartbeat,
        service: "elsewhere",
        sequence: 2,
      });
      expect(answer.kind).to.equal("unacknowledged");
      expect(keeper.service).to.equal("rooms");
      expect(keeper.phase).to.equal("ready");
      expect(grants.owns(KEYS.from)).to.equal(true);
    });
  });
});
