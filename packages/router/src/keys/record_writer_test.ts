/**
 * Tests of writes that conflict with the write of another daemon.
 *
 * @module
 */
import { expect } from "chai";
import { BamboolinkError } from "@bamboolink/errors";
import { OwnershipRecord } from "@bamboolink/keyspace";
import { Logger } from "@bamboolink/logger";
import type { CasRequest, Store } from "@bamboolink/store";
import { errAsync, okAsync } from "neverthrow";
import { OWNERSHIP_PREFIX, OwnershipDirectory } from "./ownership_directory.ts";
import { RecordInspector } from "./record_inspector.ts";
import { RecordWriter } from "./record_writer.ts";

const SERVICE = "rooms";
const KNOWN = OwnershipRecord.create()
  .assign([{ from: 0, to: 99, daemon: "own", handover: "" }])
  .withRevision(7);
/** The record that another daemon has written meanwhile. */
const CONFLICTING = KNOWN
  .assign([{ from: 50, to: 99, daemon: "other", handover: "" }])
  .withRevision(8);

/** A store that holds the other daemon's record and counts calls. */
class ConflictingStore {
  reads = 0;
  readonly writes: number[] = [];

  get() {
    this.reads += 1;
    const key = OWNERSHIP_PREFIX + SERVICE;
    return okAsync({
      key,
      value: CONFLICTING.encode(),
      revision: CONFLICTING.revision,
    });
  }

  compareAndSwap({ expectedRevision }: CasRequest) {
    this.writes.push(expectedRevision);
    return expectedRevision === CONFLICTING.revision
      ? okAsync(CONFLICTING.revision + 1)
      : errAsync(BamboolinkError.create("conflict", "changed", { step: "" }));
  }
}

/** Writes against a conflicting write; `onConflict` runs before the writer retries. */
async function writeAgainstConflict(
  onConflict: (directory: OwnershipDirectory) => void,
) {
  const store = new ConflictingStore();
  const logger = Logger.createRateLimited("test", { level: "error" });
  const directory = OwnershipDirectory.create(logger);
  directory.updateRecord(SERVICE, KNOWN);
  const writer = RecordWriter.create({
    store: store as unknown as Store,
    logger,
    directory,
    inspector: RecordInspector.create({ logger, directory, era: () => 0 }),
    random: () => 0,
    onWritten: () => undefined,
  });
  const writing = writer.write(
    SERVICE,
    "release",
    (record) => record.release([{ from: 0, to: 9 }]),
  );
  onConflict(directory);
  await writing;
  return { store, record: directory.record(SERVICE)! };
}

describe("record writer", () => {
  // Guards against a burst of reads when a hundred owners release keys within a second: after each of 250 conflicts,
  // all daemons whose writes conflict with the same write read the record at once, although the announcement of that
  // write arrives some milliseconds later.
  it("retries on top of the announced record of the conflicting write", async () => {
    const { store, record } = await writeAgainstConflict((directory) =>
      directory.updateRecord(SERVICE, CONFLICTING)
    );
    expect(store.reads).to.equal(0);
    expect(store.writes).to.deep.equal([7, 8]);
    expect(record.ownerOf(5)).to.equal(undefined);
    expect(record.ownerOf(60)?.daemon).to.equal("other");
  });

  it("reads the record if the conflicting write is not announced", async () => {
    const { store, record } = await writeAgainstConflict(() => undefined);
    expect(store.reads).to.equal(1);
    expect(store.writes).to.deep.equal([7, 8]);
    expect(record.ownerOf(60)?.daemon).to.equal("other");
  });
});
