/**
 * Tests of the store calls that a daemon makes when it starts, and of the daemons that it finds.
 *
 * @module
 */
import { setImmediate as nextTurn } from "node:timers/promises";
import { expect } from "chai";
import { BamboolinkError } from "@bamboolink/errors";
import { Logger } from "@bamboolink/logger";
import type { MemberView } from "@bamboolink/membership";
import type { Listing, Store } from "@bamboolink/store";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { MemberDirectory } from "./member_directory.ts";

const OWN = "own:1";
const OWN_KEY = `bamboolink/members/${OWN}`;
const OTHER_KEY = "bamboolink/members/other:1";
const OPERATOR_PREFIX = "op/";
const OPERATOR_KEY = "op/document";

/** A store that holds revisions by key and records its calls. */
class RecordingStore {
  readonly calls: string[] = [];
  private revision = 10;

  constructor(
    private readonly revisions: Map<string, number>,
    private readonly mayList: boolean,
    private readonly mayWrite: boolean,
  ) {}

  listAll(prefixes: readonly string[]) {
    this.calls.push("list");
    const records = [...this.revisions].map(([key, revision]) => ({
      key,
      revision,
      value: "",
    }));
    return this.mayList
      ? okAsync(prefixes.map((prefix) => ({
        records: records.filter(({ key }) => key.startsWith(prefix)),
        revision: this.revision,
      })))
      : errAsync(fail("refused"));
  }

  overwrite({ key }: { key: string }): ResultAsync<number, BamboolinkError> {
    this.calls.push("write");
    if (!this.mayWrite) {
      return errAsync(fail("refused"));
    }
    this.revision += 1;
    this.revisions.set(key, this.revision);
    return okAsync(this.revision);
  }
}

function fail(code: "refused"): BamboolinkError {
  return BamboolinkError.create(code, code, { step: "" });
}

async function start(
  stored: readonly string[],
  { mayList = true, mayWrite = true } = {},
) {
  const revisions = new Map(stored.map((key) => [key, 5]));
  const store = new RecordingStore(revisions, mayList, mayWrite);
  const memberAddresses: string[] = [];
  const registered: number[] = [];
  const directory = MemberDirectory.create({
    store: store as unknown as Store,
    view: {
      ownReport: { address: OWN, availabilityZone: "a" },
      addAddress: (address: string) => memberAddresses.push(address),
    } as unknown as MemberView,
    logger: Logger.createRateLimited("test", { level: "error" }),
    operatorPrefix: OPERATOR_PREFIX,
    onRegistered: (revision) => registered.push(revision),
    onRecord: () => undefined,
    onListed: () => undefined,
  });
  directory.start();
  await nextTurn();
  const operatorListing: Listing | undefined = await directory.operatorListing;
  directory.stop();
  return { calls: store.calls, memberAddresses, registered, operatorListing };
}

describe("member directory", () => {
  // Guards against additional reads at each start: if each daemon reads its own record, writes it and lists all, a
  // third of all calls to the store are those of starting daemons.
  it("writes, then lists, at the first start", async () => {
    const { calls, memberAddresses, registered } = await start([OTHER_KEY]);
    expect(calls).to.deep.equal(["write", "list"]);
    expect(memberAddresses).to.include("other:1");
    expect(registered).to.deep.equal([11]);
  });

  // Guards against a registration in three calls, one after the other: the first write conflicted with the record of
  // the earlier process.
  it("writes a new revision and finds the others when it restarts", async () => {
    const { calls, memberAddresses, registered } = await start([
      OWN_KEY,
      OTHER_KEY,
    ]);
    expect(calls).to.deep.equal(["write", "list"]);
    expect(memberAddresses).to.include("other:1");
    expect(registered).to.deep.equal([11]);
  });

  // Guards against a second listing for the operators' records.
  it("lists the operators' records together with the others", async () => {
    const { operatorListing } = await start([OTHER_KEY, OPERATOR_KEY]);
    expect(operatorListing?.records.map(({ key }) => key))
      .to.deep.equal([OPERATOR_KEY]);
    expect(operatorListing?.revision).to.equal(11);
  });

  it("registers when it restarts and can't list", async () => {
    const { calls, registered } = await start([OWN_KEY], { mayList: false });
    expect(calls).to.deep.equal(["write", "list"]);
    expect(registered).to.deep.equal([11]);
  });

  // Guards against a daemon without a configuration for as long as it can't be registered.
  it("leaves the operators' records to others when it can't register", async () => {
    const { operatorListing } = await start([OPERATOR_KEY], {
      mayWrite: false,
    });
    expect(operatorListing).to.equal(undefined);
  });
});
