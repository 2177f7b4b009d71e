/**
 * Tests of shared reads of the ownership record.
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

/** Creates a store that counts its reads; each takes `readMs` milliseconds and returns the next revision. */
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
  const responses: (SharedReadResponse & { owner: string })[] = [];
  const logger = Logger.createRateLimited("test", { level: "error" });
  const directory = OwnershipDirectory.create(logger);
  const reader = SharedReader.create({
    store,
    logger,
    inspector: RecordInspector.create({ logger, directory, era: () => 0 }),
    onResponse: (owner, response) => responses.push({ owner, ...response }),
  });
  return { reader, responses };
}

/** Longer than the maximum time for which requests are batched, in milliseconds. */
const BATCH_MS = 660;

describe("shared reader", () => {
  describe("when many owners request a read", () => {
    // Guards against store calls that grow with the number of owners until the store refuses them: each of 98 owners
    // reads the same record on its own every 1.5 s.
    it("reads once, and responds to each with its own timestamp", async () => {
      const { store, reads } = createStore(0);
      const { reader, responses } = createReader(store);
      Array.from(
        { length: 98 },
        (_, index) =>
          reader.enqueue(`owner-${index}`, {
            service: "rooms",
            askedAtMs: index,
          }),
      );
      await sleep(BATCH_MS);
      expect(reads.count).to.equal(1);
      expect(responses).to.have.length(98);
      expect(responses[40]).to.deep.include({
        owner: "owner-40",
        askedAtMs: 40,
      });
    });
  });

  describe("when a request arrives during a read", () => {
    // Guards against an owner that keeps its keys after a takeover: the response to its request is that of a read that
    // had begun earlier and so returned the previous record.
    it("responds with the next read", async () => {
      const { store, reads } = createStore(100);
      const { reader, responses } = createReader(store);
      reader.enqueue("early", { service: "rooms", askedAtMs: 1 });
      while (reads.count === 0) {
        await sleep(5);
      }
      reader.enqueue("late", { service: "rooms", askedAtMs: 2 });
      await sleep(BATCH_MS + 200);
      expect(responses.map(({ owner, revision }) => [owner, revision])).to.deep
        .equal([["early", 1], ["late", 2]]);
    });
  });
});
