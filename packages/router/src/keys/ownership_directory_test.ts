/**
 * Tests of which records a daemon takes over from others and from the store.
 *
 * @module
 */
import { expect } from "chai";
import { OwnershipRecord } from "@bamboolink/keyspace";
import type { EventName, Logger } from "@bamboolink/logger";
import { OwnershipDirectory } from "./ownership_directory.ts";

const SERVICE = "rooms";

function createDirectory() {
  const logged: EventName[] = [];
  const logger = {
    log: (event: EventName) => void logged.push(event),
  } as unknown as Logger;
  return { directory: OwnershipDirectory.create(logger), logged };
}

function encodeRecord(daemon: string): string {
  return OwnershipRecord.create()
    .assign([{ from: 0, to: 99, daemon, handover: "" }])
    .encode();
}

describe("OwnershipDirectory", () => {
  it("applies a newer record", () => {
    const { directory } = createDirectory();
    const receive = (revision: number, daemon: string) =>
      directory.updateFromPeer({
        service: SERVICE,
        revision,
        text: encodeRecord(daemon),
      });
    receive(5, "a");
    receive(7, "b");
    expect(directory.ownerOf(SERVICE, 1)).to.equal("b");
    receive(6, "a");
    expect(directory.ownerOf(SERVICE, 1)).to.equal("b");
  });

  // Guards against the time that a daemon spends on records that it receives again from several others.
  it("doesn't decode a record that is not newer", () => {
    const { directory, logged } = createDirectory();
    const text = encodeRecord("a");
    directory.updateFromPeer({ service: SERVICE, revision: 5, text });
    directory.updateFromPeer({ service: SERVICE, revision: 5, text: "{" });
    expect(logged).to.not.include("ownership_unreadable");
    directory.updateFromPeer({ service: SERVICE, revision: 6, text: "{" });
    expect(logged).to.include("ownership_unreadable");
  });
});
