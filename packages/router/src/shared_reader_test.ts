/**
 * Tests of reading the record once for many owners.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Logger } from "@bamboolink/logger";
import type { Store } from "@bamboolink/store";
import { okAsync } from "neverthrow";
import { OwnershipDirectory } from "./ownership_directory.ts";
import { RecordInspector } from "./record_inspector.ts";
import { SharedReader, type SharedReadResponse } from "./shared_reader.ts";

/** A store that counts reads, each of which finds the next revision and takes a while. */
function createStore(readMs: number) {
  const reads = { count: 0 };
  const store = {
    get: () => {
      reads.count += 1;
      const record = { key: "", value: "", revision: reads.count };
      return okAsync(record).map(async (found) => {
        await sleep(readMs);
        return found;
      });
    },
  } as unknown as Store;
  return { store, reads };
}

function createReader(store: Store) {
  const answers: (SharedReadResponse & { owner: string })[] = [];
  const logger = Logger.createBounded("test", { level: "error" });
  const directory = OwnershipDirectory.create(logger);
  const reader = SharedReader.create({
    store,
    logger,
    inspector: RecordInspector.create({ logger, directory, era: () => 0 }),
    onResponse: (owner, answer) => answers.push({ owner, ...answer }),
  });
  return { reader, answers };
}

/** Longer than questions are gathered, in milliseconds. */
const GATHERED_MS = 660;

describe("shared reader", () => {
  describe("asked by many owners", () => {
    // Symptom: calls to the store grow with the owners, until it turns them away.
    // Sequence: each of 98 owners reads the same record every 1.5 s.
    // Cause: each read for itself.
    it("reads once, and answers all with what they asked", async () => {
      const { store, reads } = createStore(0);
      const { reader, answers } = createReader(store);
      Array.from(
        { length: 98 },
        (_, index) =>
          reader.enqueue(`owner-${index}`, {
            service: "rooms",
            askedAtMs: index,
          }),
      );
      await sleep(GATHERED_MS);
      expect(reads.count).to.equal(1);
      expect(answers).to.have.length(98);
      expect(answers[40]).to.deep.include({ owner: "owner-40", askedAtMs: 40 });
    });
  });

  describe("asked while it reads", () => {
    // Symptom: an owner that was taken over goes on holding its keys.
    // Sequence: its question arrives while the store is being read, and is answered with that read, which shows
    // the record of before.
    // Cause: the read was older than the question.
    it("answers with the next read", async () => {
      const { store, reads } = createStore(100);
      const { reader, answers } = createReader(store);
      reader.enqueue("early", { service: "rooms", askedAtMs: 1 });
      while (reads.count === 0) {
        await sleep(5);
      }
      reader.enqueue("late", { service: "rooms", askedAtMs: 2 });
      await sleep(GATHERED_MS + 200);
      expect(answers.map(({ owner, revision }) => [owner, revision])).to.deep
        .equal([["early", 1], ["late", 2]]);
    });
  });
});
