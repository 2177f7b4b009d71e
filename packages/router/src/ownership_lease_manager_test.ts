/**
 * Tests of what confirms the right of a daemon to its keys.
 *
 * @module
 */
import { setImmediate as nextTurn } from "node:timers/promises";
import { expect } from "chai";
import {
  GrantTracker,
  OwnershipLease,
  OwnershipRecord,
} from "@bamboolink/keyspace";
import { Logger } from "@bamboolink/logger";
import type { Store } from "@bamboolink/store";
import { okAsync } from "neverthrow";
import { bootMs } from "./clock.ts";
import { OwnershipDirectory } from "./ownership_directory.ts";
import { RecordInspector } from "./record_inspector.ts";
import { OwnershipLeaseManager } from "./ownership_lease_manager.ts";

const SERVICE = "rooms";
const RECORD = OwnershipRecord.create()
  .assign([{ from: 0, to: 99, daemon: "own", handover: "" }])
  .withRevision(7);

/** A daemon that knows the record, and a store that holds something, or nothing. */
function createKeeper(stored: { value: string; revision: number } | undefined) {
  const logger = Logger.createBounded("test", { level: "error" });
  const directory = OwnershipDirectory.create(logger);
  directory.updateRecord(SERVICE, RECORD);
  const lease = OwnershipLease.create();
  const found = stored === undefined ? undefined : { key: "", ...stored };
  const keeper = OwnershipLeaseManager.create({
    store: { get: () => okAsync(found) } as unknown as Store,
    logger,
    directory,
    inspector: RecordInspector.create({ logger, directory, era: () => 0 }),
    lease,
    grants: GrantTracker.create(bootMs()),
    random: Math.random,
    ownAddress: () => "own",
    ownService: () => SERVICE,
    findReader: () => undefined,
    onSharedReadNeeded: () => undefined,
    isReleasingKeys: () => false,
    onRead: () => undefined,
    onSealed: () => undefined,
    onPromiseNeeded: () => undefined,
  });
  return { keeper, lease };
}

async function isConfirmed(
  stored: { value: string; revision: number } | undefined,
): Promise<boolean> {
  const { keeper, lease } = createKeeper(stored);
  keeper.tick();
  await nextTurn();
  return lease.maxHoldMs(bootMs()) > 0;
}

describe("lease keeper", () => {
  describe("that finds the record that it knows", () => {
    it("confirms the lease", async () => {
      const stored = { value: RECORD.encode(), revision: 7 };
      expect(await isConfirmed(stored)).to.equal(true);
    });
  });

  describe("that finds no record where it knows one", () => {
    // Symptom: two backend servers hold the same keys.
    // Sequence: somebody deletes the record; a daemon that starts then divides the keys anew, while the owners of
    // before go on.
    // Cause: an empty record shows no seal, and so confirmed every lease.
    it("confirms nothing", async () => {
      expect(await isConfirmed(undefined)).to.equal(false);
    });
  });

  describe("that finds a record that can't be read", () => {
    it("confirms nothing", async () => {
      const spoiled = { value: "{ spoiled", revision: 8 };
      expect(await isConfirmed(spoiled)).to.equal(false);
    });
  });

  describe("that is answered by the daemon that reads for all", () => {
    it("counts from when it asked if it knows that record, and reads for itself if there is news", async () => {
      const { keeper, lease } = createKeeper({ value: "{", revision: 8 });
      const askedAtMs = bootMs() - 300;
      keeper.onSharedRead({ service: SERVICE, askedAtMs, revision: 8 });
      await nextTurn();
      expect(lease.maxHoldMs(bootMs())).to.equal(0);
      keeper.onSharedRead({ service: SERVICE, askedAtMs, revision: 7 });
      expect(lease.confirmationAgeMs(askedAtMs)).to.equal(0);
    });
  });
});
