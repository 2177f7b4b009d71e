/**
 * Tests of writes that lose the race for a record.
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
/** What another daemon has written in the meantime. */
const OTHER = KNOWN
  .assign([{ from: 50, to: 99, daemon: "other", handover: "" }])
  .withRevision(8);

/** A store that holds what another daemon has written, and counts calls. */
class ContestedStore {
  reads = 0;
  readonly writes: number[] = [];

  get() {
    this.reads += 1;
    const key = OWNERSHIP_PREFIX + SERVICE;
    return okAsync({ key, value: OTHER.encode(), revision: OTHER.revision });
  }

  compareAndSwap({ expectedRevision }: CasRequest) {
    this.writes.push(expectedRevision);
    return expectedRevision === OTHER.revision
      ? okAsync(OTHER.revision + 1)
      : errAsync(BamboolinkError.create("conflict", "changed", { step: "" }));
  }
}

/** Loses a race; `onLost` is what happens before the writer tries again. */
async function loseRace(onLost: (directory: OwnershipDirectory) => void) {
  const store = new ContestedStore();
  const logger = Logger.createBounded("test", { level: "error" });
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
  onLost(directory);
  await writing;
  return { store, record: directory.record(SERVICE)! };
}

describe("record writer", () => {
  // Symptom: a hundred owners give keys up within a second, and the store is asked for the record after each of 250
  // lost races.
  // Sequence: an owner loses to another; the news of the other's write arrives some milliseconds later.
  // Cause: the record was read at once, which those who had lost to the same write did at the same moment.
  it("builds on the news of the write that came before its own", async () => {
    const { store, record } = await loseRace((directory) =>
      directory.updateRecord(SERVICE, OTHER)
    );
    expect(store.reads).to.equal(0);
    expect(store.writes).to.deep.equal([7, 8]);
    expect(record.ownerOf(5)).to.equal(undefined);
    expect(record.ownerOf(60)?.daemon).to.equal("other");
  });

  it("reads the record where no news comes", async () => {
    const { store, record } = await loseRace(() => undefined);
    expect(store.reads).to.equal(1);
    expect(store.writes).to.deep.equal([7, 8]);
    expect(record.ownerOf(60)?.daemon).to.equal("other");
  });
});
