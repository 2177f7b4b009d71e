/**
 * Tests of checks whether a daemon's configuration is the newest one, on demand and for other daemons.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { BamboolinkError } from "@bamboolink/errors";
import { Logger } from "@bamboolink/logger";
import type { MemberReport } from "@bamboolink/membership";
import type { Store } from "@bamboolink/store";
import { ConfigurationEvidence } from "@bamboolink/traffic";
import { expect } from "chai";
import { errAsync, ok, okAsync, ResultAsync } from "neverthrow";
import { ConfigurationChecker } from "./configuration_checker.ts";
import { ConfigurationManager } from "./configuration_manager.ts";
import type { Datagram } from "../members/datagram_codec.ts";
import type { PeerClient } from "../members/peer_client.ts";
import type { ConfigurationDocument } from "../ports/configuration_document.ts";

const READER = "reader";
const CALLER_WAIT_MS = 60_000;
/** A response of the reading daemon, without the time of the question. */
const RESPONSE = {
  kind: "configuration",
  sender: READER,
  version: 1,
  ageMs: 0,
} as const;
/** How long a datagram takes, in milliseconds. */
const DELIVERY_MS = 1;
/** Requests at one moment, more than may wait. */
const FLOOD_REQUEST_COUNT = 10_000;
/** Upper bound on requests that wait. */
const MAX_WAITING_REQUESTS = 1_000;

/** A store with one configuration version, which takes `readMs` milliseconds to read; an outage ends all reads. */
class FakeStore {
  version = 1;
  readMs = 0;
  isDown = false;
  readCount = 0;

  get(): ResultAsync<{ value: string }, BamboolinkError> {
    this.readCount += 1;
    if (this.isDown) {
      return errAsync(
        BamboolinkError.create("unreachable", "down", { step: "read" }),
      );
    }
    const value = String(this.version);
    return ResultAsync.fromSafePromise(sleep(this.readMs, { value }));
  }
}

/** Daemons that exchange datagrams at once, on one clock, with one store. */
class FakeFleet {
  readonly store = new FakeStore();
  nowMs = 0;
  /** Daemons whose datagrams are lost. */
  readonly cutDaemons = new Set<string>();
  readonly refusedStoreDaemons = new Set<string>();
  /** Resolves when daemons know what earlier processes had reported. */
  earlierReport: Promise<void> = Promise.resolve();
  /** Daemons from which no configuration can be fetched. */
  readonly cutPeers = new Set<string>();
  private readonly daemons = new Map<
    string,
    { checker: ConfigurationChecker; configuration: ConfigurationManager }
  >();

  add(name: string) {
    const logger = Logger.createRateLimited("test", { level: "error" });
    const document = {
      decode: (text: string) =>
        ok({
          version: Number(text),
          routes: [],
          services: [],
          unreadableRoutes: [],
          unreadableServices: [],
        }),
    } as unknown as ConfigurationDocument;
    const configuration = ConfigurationManager.create({
      document,
      logger,
      peerClient: {
        fetchConfiguration: (peer: string) =>
          this.cutPeers.has(peer)
            ? errAsync(
              BamboolinkError.create("unreachable", "cut", { step: "fetch" }),
            )
            : okAsync(String(this.daemons.get(peer)!.configuration.version)),
      } as unknown as PeerClient,
      onChange: () => undefined,
    });
    const checker = ConfigurationChecker.create({
      address: name,
      logger,
      store: {
        get: () =>
          this.refusedStoreDaemons.has(name)
            ? errAsync(
              BamboolinkError.create("refused", "refused", { step: "read" }),
            )
            : this.store.get(),
      } as unknown as Store,
      documentKey: "configuration",
      configuration,
      evidence: ConfigurationEvidence.create(),
      nowMs: () => this.nowMs,
      findReader: () => READER,
      findPeerAddress: (daemon) => daemon,
      send: (datagram, daemon) => this.deliver(datagram, daemon),
      awaitEarlierReport: () => this.earlierReport,
    });
    configuration.applyDocument("1", "store");
    this.daemons.set(name, { checker, configuration });
    return { checker, configuration };
  }

  private deliver(datagram: Datagram, daemon: string): void {
    this.nowMs += DELIVERY_MS;
    const receiver = this.daemons.get(daemon)?.checker;
    if (this.cutDaemons.has(daemon) || receiver === undefined) {
      return;
    }
    if (datagram.kind === "ask_configuration") {
      void receiver.handleRequest(datagram);
    } else if (datagram.kind === "configuration") {
      void receiver.handleResponse(datagram);
    }
  }
}

describe("ConfigurationChecker", () => {
  let fleet: FakeFleet;

  beforeEach(() => {
    fleet = new FakeFleet();
  });

  describe("with a reader that reaches the store", () => {
    // Guards against daemons that keep denying requests by an outdated configuration.
    it("brings a newer configuration into force before it confirms", async () => {
      fleet.add(READER);
      const { checker, configuration } = fleet.add("daemon");
      fleet.store.version = 2;
      expect(await checker.confirm(CALLER_WAIT_MS)).to.equal(true);
      expect(configuration.version).to.equal(2);
    });

    // Guards against store calls that grow with the number of daemons.
    it("reads the store once for many daemons", async () => {
      fleet.add(READER);
      fleet.store.readMs = 20;
      const checkers = Array.from(
        { length: 98 },
        (_, index) => fleet.add(`daemon-${index}`).checker,
      );
      const confirmations = await Promise.all(
        checkers.map((checker) => checker.confirm(CALLER_WAIT_MS)),
      );
      expect(confirmations.every((isConfirmed) => isConfirmed)).to.equal(true);
      expect(fleet.store.readCount).to.equal(1);
    });

    it("reads again once the evidence has expired", async () => {
      fleet.add(READER);
      const { checker } = fleet.add("daemon");
      await checker.confirm(CALLER_WAIT_MS);
      fleet.nowMs += 1_001;
      expect(checker.isConfirmed).to.equal(false);
      await checker.confirm(CALLER_WAIT_MS);
      expect(fleet.store.readCount).to.equal(2);
    });

    it("confirms daemons that do not reach the store themselves", async () => {
      fleet.add(READER);
      const { checker } = fleet.add("daemon");
      fleet.refusedStoreDaemons.add("daemon");
      expect(await checker.confirm(CALLER_WAIT_MS)).to.equal(true);
    });
  });

  describe("without a response of the reader", () => {
    // Guards against daemons that are cut off from the reader and deny nothing or everything.
    it("reads the store itself", async () => {
      fleet.add(READER);
      fleet.cutDaemons.add(READER);
      const { checker } = fleet.add("daemon");
      expect(await checker.confirm(CALLER_WAIT_MS)).to.equal(true);
      expect(fleet.store.readCount).to.equal(1);
    });

    // Guards against a response that a suspended process reads late and takes for recent evidence.
    it("does not count a response that arrives late", async () => {
      fleet.refusedStoreDaemons.add("daemon");
      const { checker } = fleet.add("daemon");
      await checker.confirm(CALLER_WAIT_MS);
      fleet.nowMs += 5_000;
      await checker.handleResponse({ ...RESPONSE, askedAtMs: 0 });
      expect(checker.isConfirmed).to.equal(false);
    });

    // Guards against evidence from the future: a response to an earlier process at the address, or a forged one.
    it("does not count a response to a question that it did not ask", async () => {
      fleet.refusedStoreDaemons.add("daemon");
      const { checker } = fleet.add("daemon");
      await checker.confirm(CALLER_WAIT_MS);
      await checker.handleResponse({ ...RESPONSE, askedAtMs: 1e15 });
      expect(checker.isConfirmed).to.equal(false);
      await checker.handleResponse({ ...RESPONSE, askedAtMs: 0 });
      expect(checker.isConfirmed).to.equal(true);
    });
  });

  describe("while the store holds another configuration than the one in force", () => {
    // Guards against 404 for a route that the store's configuration contains, after it was restored from a snapshot.
    it("does not confirm", async () => {
      const { checker, configuration } = fleet.add(READER);
      configuration.applyDocument("5", "store");
      expect(await checker.confirm(CALLER_WAIT_MS)).to.equal(false);
      expect(configuration.version).to.equal(5);
    });
  });

  describe("while the store holds an older configuration than another daemon", () => {
    const REPORT = {
      peerAddress: READER,
      configurationVersion: 5,
    } as MemberReport;

    beforeEach(() => {
      fleet.cutPeers.add(READER);
    });

    // Guards against 404 for a route that the newest configuration has, from a store restored from an older snapshot.
    it("does not confirm the older one if another daemon reports the newer one", async () => {
      const { checker, configuration } = fleet.add("daemon");
      configuration.handlePeerReport(REPORT);
      expect(await checker.confirm(CALLER_WAIT_MS)).to.equal(false);
      expect(checker.isConfirmed).to.equal(false);
    });

    // Guards against the same 404 if the reading daemon has reported the newer one.
    it("does not confirm the older one after the reading daemon named the newer one", async () => {
      const reader = fleet.add(READER);
      const { checker } = fleet.add("daemon");
      fleet.store.version = 5;
      expect(await reader.checker.confirm(CALLER_WAIT_MS)).to.equal(true);
      fleet.store.version = 1;
      expect(await checker.confirm(CALLER_WAIT_MS)).to.equal(false);
    });

    // Guards against the same 404 at daemons that ask one that has started since.
    it("does not confirm the older one to others", async () => {
      const reader = fleet.add(READER);
      const { checker } = fleet.add("daemon");
      fleet.refusedStoreDaemons.add("daemon");
      reader.configuration.handlePeerReport({
        ...REPORT,
        peerAddress: "daemon",
      });
      fleet.cutPeers.add("daemon");
      expect(await checker.confirm(CALLER_WAIT_MS)).to.equal(false);
    });
  });

  describe("right after the start, before others have reported what they know", () => {
    // Guards against 404 by an older version that a restored store holds, while others have the newest one.
    it("does not confirm what the store holds", async () => {
      fleet.earlierReport = new Promise(() => {});
      const { checker } = fleet.add(READER);
      expect(await checker.confirm(0)).to.equal(false);
      expect(checker.isConfirmed).to.equal(false);
      expect(fleet.store.readCount).to.equal(0);
    });

    it("confirms once they have, or once they are no longer awaited", async () => {
      let endQuery = () => {};
      fleet.earlierReport = new Promise((resolve) => {
        endQuery = resolve;
      });
      const { checker } = fleet.add(READER);
      const confirmation = checker.confirm(CALLER_WAIT_MS);
      endQuery();
      expect(await confirmation).to.equal(true);
    });
  });

  describe("while the store is down", () => {
    it("does not confirm, and does not read again at once", async () => {
      fleet.store.isDown = true;
      const { checker } = fleet.add(READER);
      expect(await checker.confirm(CALLER_WAIT_MS)).to.equal(false);
      expect(await checker.confirm(CALLER_WAIT_MS)).to.equal(false);
      expect(fleet.store.readCount).to.equal(1);
      fleet.store.isDown = false;
      fleet.nowMs += 1_000;
      expect(await checker.confirm(CALLER_WAIT_MS)).to.equal(true);
    });
  });

  describe("with more requests than may wait", () => {
    // Guards against callers of unknown routes that exhaust the daemon's memory or the store's call rate.
    it("keeps a bounded number waiting for one read", async () => {
      fleet.store.readMs = 50;
      const { checker } = fleet.add(READER);
      const confirmations = await Promise.all(
        Array.from(
          { length: FLOOD_REQUEST_COUNT },
          () => checker.confirm(CALLER_WAIT_MS),
        ),
      );
      expect(confirmations.filter((isConfirmed) => isConfirmed)).to.have.length(
        MAX_WAITING_REQUESTS,
      );
      expect(fleet.store.readCount).to.equal(1);
    });
  });
});
