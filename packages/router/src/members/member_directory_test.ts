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
import type { CasRequest, Store } from "@bamboolink/store";
import { errAsync, okAsync } from "neverthrow";
import { MemberDirectory } from "./member_directory.ts";

const OWN = "own:1";
const OWN_KEY = `bamboolink/members/${OWN}`;
const OTHER_KEY = "bamboolink/members/other:1";

/** A store that holds revisions by key and records its calls. */
class RecordingStore {
  readonly calls: string[] = [];
  private revision = 10;

  constructor(
    private readonly revisions: Map<string, number>,
    private readonly mayList: boolean,
  ) {}

  list() {
    this.calls.push("list");
    const records = [...this.revisions].map(([key, revision]) => ({
      key,
      revision,
      value: "",
    }));
    return this.mayList
      ? okAsync({ records, revision: this.revision })
      : errAsync(fail("refused"));
  }

  get(key: string) {
    this.calls.push("get");
    const revision = this.revisions.get(key);
    return okAsync(
      revision === undefined ? undefined : { key, revision, value: "" },
    );
  }

  compareAndSwap({ key, expectedRevision }: CasRequest) {
    this.calls.push("write");
    if ((this.revisions.get(key) ?? 0) !== expectedRevision) {
      return errAsync(fail("conflict"));
    }
    this.revision += 1;
    this.revisions.set(key, this.revision);
    return okAsync(this.revision);
  }
}

function fail(code: "conflict" | "refused"): BamboolinkError {
  return BamboolinkError.create(code, code, { step: "" });
}

async function start(stored: readonly string[], mayList = true) {
  const revisions = new Map(stored.map((key) => [key, 5]));
  const store = new RecordingStore(revisions, mayList);
  const memberAddresses: string[] = [];
  const registered: number[] = [];
  const directory = MemberDirectory.create({
    store: store as unknown as Store,
    view: {
      ownReport: { address: OWN, availabilityZone: "a" },
      addAddress: (address: string) => memberAddresses.push(address),
    } as unknown as MemberView,
    logger: Logger.createRateLimited("test", { level: "error" }),
    onRegistered: (revision) => registered.push(revision),
    onRecord: () => undefined,
  });
  directory.start();
  await nextTurn();
  directory.stop();
  return { calls: store.calls, memberAddresses, registered };
}

describe("member directory", () => {
  // Guards against an additional read at each start, which helps only a restarting daemon: if each daemon reads its own
  // record, writes it and lists all, a third of all calls to the store are those of starting daemons.
  it("writes, then lists, at the first start", async () => {
    const { calls, memberAddresses, registered } = await start([OTHER_KEY]);
    expect(calls).to.deep.equal(["write", "list"]);
    expect(memberAddresses).to.include("other:1");
    expect(registered).to.deep.equal([11]);
  });

  it("writes a new revision and finds the others when it restarts", async () => {
    const { calls, memberAddresses, registered } = await start([
      OWN_KEY,
      OTHER_KEY,
    ]);
    expect(calls).to.deep.equal(["write", "list", "write"]);
    expect(memberAddresses).to.include("other:1");
    expect(registered).to.deep.equal([11]);
  });

  it("registers when it restarts and can't list", async () => {
    const { calls, registered } = await start([OWN_KEY], false);
    expect(calls.slice(0, 4)).to.deep.equal(["write", "list", "get", "write"]);
    expect(registered).to.deep.equal([11]);
  });
});
