/**
 * Tests of what a backend server is answered when it leaves.
 *
 * @module
 */
import { expect } from "chai";
import { GrantBook, OwnershipRecord, Tenure } from "@bamboolink/keyspace";
import { Logger } from "@bamboolink/logger";
import { BackendKeeper, type HeartbeatAnswer } from "./backend_keeper.ts";
import { bootMs } from "./clock.ts";
import { LocalBackend } from "./local_backend.ts";
import type {
  BackendHeartbeat,
  BackendProtocol,
} from "./ports/backend_protocol.ts";

const ADDRESS = "127.0.0.1:9";
const KEYS = { from: 0, to: 99 };

function createKeeper(
  grants: GrantBook,
  tenure: Tenure,
  beforeLeaving = () => {
    grants.beginRelease(grants.ownRanges);
    return true;
  },
): BackendKeeper {
  const logger = Logger.createBounded("test", { level: "error" });
  const protocol = {} as BackendProtocol;
  return BackendKeeper.create({
    address: ADDRESS,
    protocol,
    logger,
    backend: LocalBackend.create({
      address: ADDRESS,
      protocol,
      logger,
      grants,
      onSuspicion: () => undefined,
    }),
    grants,
    tenure,
    drainMs: () => 2_000,
    healthPath: () => "/",
    isKeyed: () => true,
    mayGrant: () => true,
    onChange: () => undefined,
    onFreed: () => undefined,
    beforeLeaving: () => Promise.resolve(beforeLeaving()),
    beforeGrant: () => Promise.resolve(),
  });
}

/** A daemon that owns some keys by the record and may grant them. */
function createOwner(): { grants: GrantBook; tenure: Tenure } {
  const grants = GrantBook.create(bootMs() - 60_000);
  const tenure = Tenure.create();
  tenure.confirm(bootMs(), []);
  const record = OwnershipRecord.create()
    .assign([{ ...KEYS, daemon: "own", handover: "" }])
    .withRevision(7);
  grants.noteOwnership(record, { daemon: "own", revision: 7 });
  return { grants, tenure };
}

function rangesIn(answer: HeartbeatAnswer) {
  return answer.kind === "acknowledged" ? answer.grant?.ranges : undefined;
}

describe("backend keeper", () => {
  const heartbeat: BackendHeartbeat = {
    kind: "heartbeat",
    instance: "i-1",
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
      const { grants, tenure } = createOwner();
      const keeper = createKeeper(grants, tenure);
      const granted = await keeper.takeHeartbeat(heartbeat);
      expect(rangesIn(granted)).to.have.length(1);
      const leaving = { ...heartbeat, sequence: 2, isDraining: true };
      const answered = await keeper.takeHeartbeat(leaving);
      expect(rangesIn(answered)).to.deep.equal([]);
    });

    // Symptom: the keys of two backend servers that leave have no owner for as long as the store is away.
    // Sequence: the store goes down; the servers say that they leave and are told that this is known; from
    // then on they get no requests, and nobody else can be given their keys.
    // Cause: a leaving was acknowledged although it could not be followed.
    it("is not told so while its keys can't be given to others, and serves on", async () => {
      const { grants, tenure } = createOwner();
      const keeper = createKeeper(grants, tenure, () => false);
      await keeper.takeHeartbeat(heartbeat);
      const leaving = { ...heartbeat, sequence: 2, isDraining: true };
      const answered = await keeper.takeHeartbeat(leaving);
      expect(answered.kind).to.equal("unacknowledged");
      expect(keeper.phase).to.equal("ready");
      expect(grants.isOwn(KEYS.from)).to.equal(true);
    });
  });
});
