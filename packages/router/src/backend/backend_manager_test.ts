/**
 * Tests of the responses to heartbeats of draining, evacuated, restarted and misconfigured backend servers.
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
  type HeartbeatResponse,
  type LocalEvacuation,
} from "./backend_manager.ts";
import { bootMs } from "../clock.ts";
import { LocalBackend } from "./local_backend.ts";
import type {
  BackendHeartbeat,
  BackendProtocol,
} from "../ports/backend_protocol.ts";
import { RequestQuarantine } from "./request_quarantine.ts";

const ADDRESS = "127.0.0.1:9";
const OWN_RANGE = { from: 0, to: 99 };

function createEvacuation(): {
  -readonly [Name in keyof LocalEvacuation]: LocalEvacuation[Name];
} {
  return {
    isEvacuated: false,
    handoverEndsAtMs: Infinity,
    awaitKnown: () => Promise.resolve(true),
  };
}

function createManager(
  grants: GrantTracker,
  lease: OwnershipLease,
  options: {
    beforeDrain?: () => boolean;
    probe?: () => Promise<ProbeResult>;
    heartbeatMs?: number;
    evacuation?: LocalEvacuation;
    onChange?: () => void;
    onProcessEnded?: () => void;
    awaitEarlierReport?: () => Promise<void>;
    awaitGrantable?: () => Promise<void>;
    coldLimit?: () => number;
    onLimits?: (coldLimit: number | undefined) => void;
  } = {},
): BackendManager {
  const releaseAll = () => {
    grants.beginRelease(grants.ownRanges);
    return true;
  };
  const logger = Logger.createRateLimited("test", { level: "error" });
  const protocol = {} as BackendProtocol;
  const backend = LocalBackend.create({
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
      sendTo: () => undefined,
    }),
    onSuspicion: () => undefined,
    onLeaving: () => undefined,
  });
  const updateIdentity = backend.updateIdentity.bind(backend);
  backend.updateIdentity = (identity) => {
    updateIdentity(identity);
    options.onLimits?.(identity?.coldLimit);
  };
  return BackendManager.create({
    logger,
    backend,
    grants,
    grantLimit: { bytes: Infinity, measure: () => 0 },
    lease,
    evacuation: options.evacuation ?? createEvacuation(),
    awaitEarlierReport: options.awaitEarlierReport ??
      (() => Promise.resolve()),
    drainMs: () => 2_000,
    isKeyed: () => true,
    isConfigured: (service) => service === "rooms",
    coldLimit: options.coldLimit ?? (() => 0),
    heartbeatIntervalMs: () => options.heartbeatMs ?? 1_000,
    probe: options.probe ?? (() => Promise.resolve({ kind: "silent" })),
    mayGrant: () => true,
    onServiceChanged: () => undefined,
    onChange: options.onChange ?? (() => undefined),
    onReleased: () => undefined,
    beforeDrain: () => Promise.resolve((options.beforeDrain ?? releaseAll)()),
    onProcessEnded: options.onProcessEnded ?? (() => undefined),
    beforeGrant: () => Promise.resolve(),
    awaitGrantable: options.awaitGrantable ?? (() => Promise.resolve()),
  });
}

/** Creates the state of a daemon that owns some keys by the record and may grant them. */
function createOwner(): { grants: GrantTracker; lease: OwnershipLease } {
  const grants = GrantTracker.create(bootMs() - 60_000);
  const lease = OwnershipLease.create();
  lease.recordFence(-Infinity);
  lease.confirm(bootMs(), { arbiters: [], revision: 1 });
  const record = OwnershipRecord.create()
    .assign([{ ...OWN_RANGE, daemon: "own", handover: "" }])
    .withRevision(7);
  grants.applyRecord(record, { daemon: "own", revision: 7 });
  return { grants, lease };
}

function rangesIn(response: HeartbeatResponse) {
  return response.kind === "acknowledged" ? response.grant?.ranges : undefined;
}

describe("backend manager", () => {
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

  describe("when the configuration changes", () => {
    // Guards against a cold server that gets more than it may until its next heartbeat, because its daemon learns of the
    // limit only after the last one.
    it("applies the new limit at once", async () => {
      const { grants, lease } = createOwner();
      let coldLimit = 1;
      const applied: (number | undefined)[] = [];
      const manager = createManager(grants, lease, {
        coldLimit: () => coldLimit,
        onLimits: (limit) => applied.push(limit),
      });
      manager.onConfigurationChanged();
      expect(applied).to.deep.equal([]);
      await manager.handleHeartbeat({ ...heartbeat, coldMs: 2_000 });
      expect(applied.at(-1)).to.equal(1);
      coldLimit = 20;
      manager.onConfigurationChanged();
      expect(applied.at(-1)).to.equal(20);
    });
  });

  describe("before the first grant to a process", () => {
    // Guards against keys without a holder for a heartbeat's interval after a start, because the lease is confirmed just
    // after the first response.
    it("delays the response until keys may be granted, and no later one", async () => {
      const { grants, lease } = createOwner();
      lease.reset();
      lease.recordFence(-Infinity);
      let waits = 0;
      const manager = createManager(grants, lease, {
        awaitGrantable: () => {
          waits += 1;
          lease.confirm(bootMs(), { arbiters: [], revision: 1 });
          return Promise.resolve();
        },
      });
      const granted = await manager.handleHeartbeat(heartbeat);
      expect(rangesIn(granted)).to.have.length(1);
      await manager.handleHeartbeat({ ...heartbeat, sequence: 2 });
      expect(waits).to.equal(1);
    });
  });

  describe("when a backend server that owns keys drains", () => {
    // Guards against keys of a draining backend server without an owner for more than a second: if they are released a
    // tick after the response that acknowledges the drain, only the response to the next heartbeat omits them.
    it("no longer grants them in the response that acknowledges the drain", async () => {
      const { grants, lease } = createOwner();
      const manager = createManager(grants, lease);
      const granted = await manager.handleHeartbeat(heartbeat);
      expect(rangesIn(granted)).to.have.length(1);
      const draining = { ...heartbeat, sequence: 2, isDraining: true };
      const response = await manager.handleHeartbeat(draining);
      expect(rangesIn(response)).to.deep.equal([]);
    });

    // Guards against keys of two draining backend servers without an owner for as long as the store is down: their
    // drain is acknowledged, so they get no more requests, although their keys can't be reassigned.
    it("does not acknowledge the drain while the keys can't be reassigned, and remains ready", async () => {
      const { grants, lease } = createOwner();
      const manager = createManager(grants, lease, {
        beforeDrain: () => false,
      });
      await manager.handleHeartbeat(heartbeat);
      const draining = { ...heartbeat, sequence: 2, isDraining: true };
      const response = await manager.handleHeartbeat(draining);
      expect(response.kind).to.equal("unacknowledged");
      expect(manager.phase).to.equal("ready");
      expect(grants.owns(OWN_RANGE.from)).to.equal(true);
    });
  });

  describe("when a backend server announces its departure other than by heartbeats", () => {
    const incarnation = { instance: "i-1", born: undefined };
    const announce = {
      response: (manager: BackendManager) =>
        manager.handleStatedLeaving(incarnation, { isRecent: true }),
      notification: (manager: BackendManager) =>
        manager.handleDeparture({ kind: "departure", ...incarnation }),
    };

    // Guards against requests to a leaving server again after a delayed heartbeat, or one that reports it ready.
    Object.entries(announce).forEach(([source, leave]) =>
      it(`stays draining whatever its heartbeats report, and releases its keys: ${source}`, async () => {
        const { grants, lease } = createOwner();
        const manager = createManager(grants, lease);
        await manager.handleHeartbeat(heartbeat);
        leave(manager);
        const { forwardUntilMs } = manager;
        const response = await manager.handleHeartbeat({
          ...heartbeat,
          sequence: 2,
        });
        expect(rangesIn(response)).to.deep.equal([]);
        expect(manager.phase).to.equal("draining");
        expect(manager.forwardUntilMs).to.equal(forwardUntilMs);
      })
    );

    // Guards against a drain time that begins again after the server was taken for absent.
    it("does not extend its drain time when it reappears", async () => {
      const { grants, lease } = createOwner();
      const manager = createManager(grants, lease);
      await manager.handleHeartbeat(heartbeat);
      manager.handleStatedLeaving(incarnation, { isRecent: true });
      const { forwardUntilMs } = manager;
      await manager.handleSuspicion("wrong_instance");
      expect(manager.phase).to.equal("absent");
      await new Promise((resolve) => setTimeout(resolve, 2));
      await manager.handleHeartbeat({ ...heartbeat, sequence: 2 });
      expect(manager.phase).to.equal("draining");
      expect(manager.forwardUntilMs).to.equal(forwardUntilMs);
    });

    // Guards against keys that keep a leaving server in use while the store is down.
    it("drains even if its keys can't be reassigned", async () => {
      const { grants, lease } = createOwner();
      const manager = createManager(grants, lease, {
        beforeDrain: () => false,
      });
      await manager.handleHeartbeat(heartbeat);
      manager.handleStatedLeaving(incarnation, { isRecent: true });
      await manager.handleHeartbeat({
        ...heartbeat,
        sequence: 2,
        isDraining: true,
      });
      expect(manager.phase).to.equal("draining");
    });

    // Guards against a drain time that begins again when the daemon restarts beside a leaving server.
    it("has no drain time left if it was leaving before this process knew it", async () => {
      const { grants, lease } = createOwner();
      const manager = createManager(grants, lease);
      await manager.handleHeartbeat({ ...heartbeat, isDraining: true });
      expect(manager.forwardUntilMs).to.equal(-Infinity);
      const restarted = createManager(grants, lease);
      await restarted.handleHeartbeat(heartbeat);
      restarted.handleStatedLeaving(incarnation, { isRecent: false });
      expect(restarted.forwardUntilMs).to.equal(-Infinity);
    });

    // Guards against requests to a leaving server whose heartbeats report it ready, after a restart of its daemon.
    ["before", "after"].forEach((order) =>
      it(`drains if that was stated to an earlier process, known ${order} the first heartbeat`, async () => {
        const { grants, lease } = createOwner();
        const manager = createManager(grants, lease);
        const status = {
          instance: "i-1",
          born: 1_000,
          isLeaving: true,
          limitPerSecond: null,
        };
        const first = { ...heartbeat, born: 1_000 };
        if (order === "before") {
          manager.restoreStatus(status);
          await manager.handleHeartbeat(first);
        } else {
          await manager.handleHeartbeat(first);
          manager.restoreStatus(status);
        }
        expect(manager.phase).to.equal("draining");
        expect(manager.forwardUntilMs).to.equal(-Infinity);
        const response = await manager.handleHeartbeat({
          ...first,
          sequence: 2,
        });
        expect(rangesIn(response)).to.deep.equal([]);
      })
    );

    it("is ready once another incarnation has replaced it", async () => {
      const { grants, lease } = createOwner();
      const manager = createManager(grants, lease, {
        probe: () =>
          Promise.resolve({
            kind: "answered",
            isReady: true,
            instance: "i-2",
            born: undefined,
          }),
      });
      await manager.handleHeartbeat(heartbeat);
      manager.handleStatedLeaving(incarnation, { isRecent: true });
      await manager.handleHeartbeat({ ...heartbeat, instance: "i-2" });
      expect(manager.phase).to.equal("ready");
      manager.handleStatedLeaving(incarnation, { isRecent: true });
      expect(manager.phase).to.equal("ready");
    });
  });

  describe("after a departure that states no start time", () => {
    const departure = {
      kind: "departure" as const,
      instance: "i-1",
      born: undefined,
    };

    // Guards against a departure that is acknowledged and forgotten, because this process knew no backend server.
    it("is draining from its first heartbeat, if the departure came before it", async () => {
      const { grants, lease } = createOwner();
      const manager = createManager(grants, lease);
      manager.handleDeparture(departure);
      expect(manager.phase).to.equal("absent");
      await manager.handleHeartbeat(heartbeat);
      expect(manager.phase).to.equal("draining");
    });

    // Guards against a departed server that gets requests again by a late heartbeat.
    [
      { found: "ready", isReady: true, phase: "ready" },
      { found: "leaving", isReady: false, phase: "draining" },
    ].forEach(({ found, isReady, phase }) =>
      it(`is ${phase} by a heartbeat 6 s later if a probe finds it ${found}`, async () => {
        const now = performance.now;
        try {
          const { grants, lease } = createOwner();
          const born = 1_000;
          const manager = createManager(grants, lease, {
            probe: () =>
              Promise.resolve({
                kind: "answered",
                isReady,
                instance: "i-1",
                born,
              }),
          });
          await manager.handleHeartbeat({ ...heartbeat, born });
          manager.handleDeparture(departure);
          await manager.handleHeartbeat({ ...heartbeat, born, sequence: 2 });
          expect(manager.phase).to.equal("draining");
          performance.now = () => now.call(performance) + 6_000;
          await manager.handleHeartbeat({ ...heartbeat, born, sequence: 3 });
          expect(manager.phase).to.equal(phase);
        } finally {
          performance.now = now;
        }
      })
    );

    it("does not drain the server by the departure of another id", async () => {
      const { grants, lease } = createOwner();
      const manager = createManager(grants, lease);
      manager.handleDeparture({ ...departure, instance: "i-0" });
      await manager.handleHeartbeat(heartbeat);
      expect(manager.phase).to.equal("ready");
    });
  });

  describe("when its first heartbeat may be one of a server that has ended", () => {
    // Guards against keys with two holders: a daemon that has just started takes a delayed heartbeat of another service's
    // server for one of the server at the address, and gives the keys away that this one still holds.
    it("proves the service of its sender by time or by its replacement only", async () => {
      const { grants, lease } = createOwner();
      const manager = createManager(grants, lease, {
        probe: () =>
          Promise.resolve({
            kind: "answered",
            isReady: true,
            instance: "i-2",
            born: undefined,
          }),
      });
      await manager.handleHeartbeat(heartbeat);
      expect(manager.service).to.equal("rooms");
      expect(manager.provenService).to.equal(undefined);
      await manager.handleHeartbeat({ ...heartbeat, instance: "i-2" });
      expect(manager.provenService).to.equal("rooms");
    });
  });

  // Guards against a crash report that reaches no daemon, because gossip to all of them goes first and fills the queue of
  // a slow network link.
  describe("when nothing listens at the backend server's address any more", () => {
    it("reports the end of its process before it announces its phase", async () => {
      const { grants, lease } = createOwner();
      const calls: string[] = [];
      const manager = createManager(grants, lease, {
        probe: () => Promise.resolve({ kind: "refused" }),
        onChange: () => calls.push(manager.phase),
        onProcessEnded: () => calls.push("ended"),
      });
      await manager.handleHeartbeat(heartbeat);
      await manager.handleSuspicion("lost");
      expect(calls).to.deep.equal(["ready", "ended", "absent"]);
    });
  });

  describe("when the daemon has just started", () => {
    // Guards against requests to a server before it is known what it had stated to an earlier process.
    it("sends the server no requests until the query for an earlier report has ended", async () => {
      const { grants, lease } = createOwner();
      let endQuery = () => {};
      const query = new Promise<void>((resolve) => {
        endQuery = resolve;
      });
      const manager = createManager(grants, lease, {
        awaitEarlierReport: () => query,
      });
      const response = manager.handleHeartbeat(heartbeat);
      await new Promise((resolve) => setTimeout(resolve, 2));
      expect(manager.phase).to.equal("absent");
      endQuery();
      await response;
      expect(manager.phase).to.equal("ready");
    });
  });

  describe("when operators evacuate the availability zone", () => {
    it("releases the keys with the next response, and is ready again once the evacuation ends", async () => {
      const { grants, lease } = createOwner();
      const evacuation = createEvacuation();
      const manager = createManager(grants, lease, { evacuation });
      await manager.handleHeartbeat(heartbeat);
      evacuation.isEvacuated = true;
      manager.onEvacuationChanged();
      expect(manager.phase).to.equal("evacuated");
      const response = await manager.handleHeartbeat({
        ...heartbeat,
        sequence: 2,
      });
      expect(rangesIn(response)).to.deep.equal([]);
      expect(manager.phase).to.equal("evacuated");
      evacuation.isEvacuated = false;
      manager.onEvacuationChanged();
      expect(manager.phase).to.equal("ready");
    });

    // Guards against sending requests to a draining backend server again when the evacuation of its zone ends.
    it("does not change the phase of a draining backend server", async () => {
      const { grants, lease } = createOwner();
      const evacuation = createEvacuation();
      const manager = createManager(grants, lease, { evacuation });
      await manager.handleHeartbeat({ ...heartbeat, isDraining: true });
      evacuation.isEvacuated = true;
      manager.onEvacuationChanged();
      expect(manager.phase).to.equal("draining");
      evacuation.isEvacuated = false;
      manager.onEvacuationChanged();
      expect(manager.phase).to.equal("draining");
    });

    // Guards against a restarted daemon that forwards requests to an evacuated backend server.
    it("acknowledges nothing until it is known which zones are evacuated", async () => {
      const { grants, lease } = createOwner();
      const evacuation = createEvacuation();
      evacuation.awaitKnown = () => Promise.resolve(false);
      const manager = createManager(grants, lease, { evacuation });
      const response = await manager.handleHeartbeat(heartbeat);
      expect(response.kind).to.equal("unacknowledged");
      expect(manager.phase).to.equal("absent");
    });
  });

  describe("when a backend server restarts with the same id", () => {
    const previous = { ...heartbeat, born: 1_000, sequence: 40 };
    const next = { ...heartbeat, born: 2_000, sequence: 1 };

    function createRestarted(probeFields: { born: number | undefined }) {
      const { grants, lease } = createOwner();
      const found = {
        kind: "answered" as const,
        isReady: true,
        instance: "i-1",
        ...probeFields,
      };
      const manager = createManager(grants, lease, {
        probe: () => Promise.resolve(found),
      });
      return { grants, manager };
    }

    // Guards against keys of a backend server that crashed and restarted between two heartbeats being unserved until
    // its sequence number exceeds the previous one: its heartbeats are treated as late ones of the previous process.
    it("grants the keys to the new process with a higher fencing token", async () => {
      const { manager } = createRestarted({ born: 2_000 });
      const [before] = rangesIn(await manager.handleHeartbeat(previous))!;
      const [after] = rangesIn(await manager.handleHeartbeat(next))!;
      expect(after!.token).to.be.above(before!.token);
    });

    // Guards against a restarted backend server that gets no keys: a delayed heartbeat of the previous process,
    // received after the first one of the new process, is accepted unless ended incarnations are recorded.
    it("drops delayed heartbeats of the previous process", async () => {
      const { manager } = createRestarted({ born: 2_000 });
      await manager.handleHeartbeat(previous);
      await manager.handleHeartbeat(next);
      const delayed = await manager.handleHeartbeat({
        ...previous,
        sequence: 41,
      });
      expect(rangesIn(delayed)).to.equal(undefined);
      const following = await manager.handleHeartbeat({ ...next, sequence: 2 });
      expect(rangesIn(following)).to.have.length(1);
    });

    // Guards against two servers that hold the same keys: a delayed heartbeat is treated as a new process, the grant of
    // the running one is discarded, and its keys are assigned to another owner before the grant expires. The response
    // to the probe, which does not distinguish the two processes, must not count as proof that one has ended.
    it("keeps the previous process's grant until it expires if the probe is inconclusive", async () => {
      const { grants, lease } = createOwner();
      const manager = createManager(grants, lease, {
        heartbeatMs: 0,
        probe: () =>
          Promise.resolve({
            kind: "answered",
            isReady: true,
            instance: "i-1",
            born: undefined,
          }),
      });
      await manager.handleHeartbeat(previous);
      await new Promise((resolve) => setTimeout(resolve, 2));
      await manager.handleHeartbeat(next);
      grants.beginRelease([OWN_RANGE]);
      expect(grants.findReleased(bootMs())).to.deep.equal([]);
      expect(grants.findReleased(bootMs() + 6_000)).to.deep.equal([OWN_RANGE]);
    });

    it("ignores the departure of the previous process", async () => {
      const { manager } = createRestarted({ born: 2_000 });
      await manager.handleHeartbeat(previous);
      await manager.handleHeartbeat(next);
      manager.handleDeparture({
        kind: "departure",
        instance: "i-1",
        born: 1_000,
      });
      expect(manager.phase).to.equal("ready");
    });
  });

  describe("when a heartbeat names a service that is not configured", () => {
    // Guards against releasing the keys of a running backend server, or sending it no requests, after another client
    // has sent a well-formed heartbeat of a service that does not exist: the service of the last heartbeat is adopted.
    it("changes nothing and does not acknowledge the heartbeat", async () => {
      const { grants, lease } = createOwner();
      const manager = createManager(grants, lease);
      await manager.handleHeartbeat(heartbeat);
      const response = await manager.handleHeartbeat({
        ...heartbeat,
        service: "elsewhere",
        sequence: 2,
      });
      expect(response.kind).to.equal("unacknowledged");
      expect(manager.service).to.equal("rooms");
      expect(manager.phase).to.equal("ready");
      expect(grants.owns(OWN_RANGE.from)).to.equal(true);
    });
  });
});
