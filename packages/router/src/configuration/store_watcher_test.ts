/**
 * Tests of the store calls with which the operators' records are followed.
 *
 * @module
 */
import { setImmediate as nextTurn } from "node:timers/promises";
import { BamboolinkError } from "@bamboolink/errors";
import { Logger } from "@bamboolink/logger";
import type { Listing, Store, WatchOptions } from "@bamboolink/store";
import { expect } from "chai";
import { okAsync } from "neverthrow";
import { StoreWatcher } from "./store_watcher.ts";

const PREFIX = "op/";
/** Time after which a watch that has ended is repeated, in milliseconds. */
const RETRY_MS = 100;

/** Starts a watcher beside a store that records its calls; `listing` is the one made for other purposes. */
async function start(listing: Listing | undefined) {
  const calls: string[] = [];
  const revisions: number[] = [];
  let endWatch = () => {};
  const store = {
    list: () => {
      calls.push("list");
      return okAsync({ records: [], revision: 20 });
    },
    watch: (_prefix: string, { fromRevision, handler }: WatchOptions) => {
      calls.push(`watch from ${fromRevision}`);
      endWatch = () =>
        handler.onEnd(BamboolinkError.create("refused", "", { step: "" }));
      return { stop: () => undefined };
    },
  };
  const watcher = StoreWatcher.create({
    store: store as unknown as Store,
    logger: Logger.createRateLimited("test", { level: "error" }),
    prefix: PREFIX,
    firstListing: Promise.resolve(listing),
    random: () => 0,
    choosePollTimeoutMs: () => 1_000,
    awaitPoll: () => Promise.resolve(),
    onListing: ({ revision }) => revisions.push(revision),
    onChange: () => undefined,
  });
  watcher.start();
  await nextTurn();
  return { watcher, calls, revisions, endWatch: () => endWatch() };
}

describe("StoreWatcher", () => {
  // Guards against a second listing at each start of a daemon.
  it("starts from the listing that the start makes anyway", async () => {
    const { watcher, calls, revisions } = await start({
      records: [],
      revision: 11,
    });
    watcher.stop();
    expect(calls).to.deep.equal(["watch from 12"]);
    expect(revisions).to.deep.equal([11]);
  });

  it("lists itself without one", async () => {
    const { watcher, calls } = await start(undefined);
    watcher.stop();
    expect(calls).to.deep.equal(["list", "watch from 21"]);
  });

  // Guards against missed changes: the listing of the start is outdated by then.
  it("lists itself after a watch has ended", async () => {
    const { watcher, calls, endWatch } = await start({
      records: [],
      revision: 11,
    });
    endWatch();
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    watcher.stop();
    expect(calls).to.deep.equal(["watch from 12", "list", "watch from 21"]);
  });
});
