/**
 * Tests of how daemons share the state of requests that crash backend servers.
 *
 * @module
 */
import { expect } from "chai";
import { Logger } from "@bamboolink/logger";
import { encodeDatagram } from "../members/datagram_codec.ts";
import {
  type QuarantineUpdate,
  RequestQuarantine,
} from "./request_quarantine.ts";
import { SAMPLE_REQUEST } from "../testing/sample_request.ts";
import type { RoutedRequest } from "../attempts/routed_request.ts";

const DAEMONS = ["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"];
/** More requests than one datagram reports. */
const MANY = 40;
/** Longer than the interval of repeated reports, in milliseconds. */
const REPEAT_WAIT_MS = 1_100;
/** Longer than all connections of a crashing server take to break, in milliseconds. */
const RESPONSE_DELAY_MS = 200;
/** Difference of two successive random numbers; all numbers of a test differ. */
const RANDOM_STEP = 0.618;
/** Payload of a datagram in one Ethernet frame, in bytes. */
const MAX_DATAGRAM_BYTES = 1_472;
/** HTTP statuses. */
const OK = 200;
const INTERNAL_SERVER_ERROR = 500;
const CRASH = { instance: "i-1", proof: "refused" } as const;

const createRequest = (
  target: string,
  brokenConnections = 0,
): RoutedRequest => ({
  ...SAMPLE_REQUEST,
  target,
  brokenConnections,
});

/** Daemons whose messages are delivered when the test calls `deliver`. */
class Fleet {
  nowMs = 1_000;
  private lastRandom = 0;
  readonly sent: { to: string; update: QuarantineUpdate }[] = [];
  readonly daemons = new Map(
    DAEMONS.map((address) => [address, this.createDaemon(address)]),
  );

  static create(): Fleet {
    return new Fleet();
  }

  at(index: number): RequestQuarantine {
    return this.daemons.get(DAEMONS[index]!)!;
  }

  /** Restarts a daemon, which loses its state. */
  restart(index: number): void {
    const address = DAEMONS[index]!;
    this.daemons.set(address, this.createDaemon(address));
  }

  /** Delivers sent messages until there are no more. */
  deliver(order: (sent: Fleet["sent"]) => Fleet["sent"] = (sent) => sent) {
    while (this.sent.length > 0) {
      order(this.sent.splice(0)).forEach(({ to, update }) =>
        this.daemons.get(to)!.applyUpdate(update)
      );
    }
  }

  /** Crashes a daemon's backend server while it runs requests. */
  crash(
    index: number,
    runs: readonly RoutedRequest[],
    isOnProbation = false,
  ): void {
    const daemon = this.at(index);
    runs.forEach((request) =>
      daemon.recordBrokenConnection(request, isOnProbation)
    );
    daemon.recordBackendEnd(CRASH);
  }

  /** Returns how each daemon classifies a request. */
  classify(request: RoutedRequest): string[] {
    return [...this.daemons.values()].map((daemon) =>
      daemon.classify(request).kind
    );
  }

  private createDaemon(address: string): RequestQuarantine {
    const others = DAEMONS.filter((other) => other !== address);
    const send = (update: QuarantineUpdate) =>
      others.forEach((to) => this.sent.push({ to, update }));
    return RequestQuarantine.create({
      address,
      logger: Logger.createRateLimited("test", { level: "error" }),
      random: () => {
        this.lastRandom = (this.lastRandom + RANDOM_STEP) % 1;
        return this.lastRandom;
      },
      nowMs: () => this.nowMs,
      broadcast: send,
      sendToSome: send,
      sendTo: (update, to) => this.sent.push({ to, update }),
    });
  }
}

const atAll = (kind: string) => DAEMONS.map(() => kind);

describe("RequestQuarantine", () => {
  let fleet: Fleet;

  beforeEach(() => {
    fleet = Fleet.create();
  });

  describe("after a server has crashed", () => {
    it("makes all daemons run its requests alone, and retry others only once", () => {
      fleet.crash(0, [createRequest("/lethal"), createRequest("/beside")]);
      fleet.deliver();
      expect(fleet.classify(createRequest("/lethal"))).to.deep.equal(
        atAll("suspect"),
      );
      expect(fleet.classify(createRequest("/beside"))).to.deep.equal(
        atAll("suspect"),
      );
      expect(fleet.classify(createRequest("/other"))).to.deep.equal(
        atAll("clear"),
      );
      expect(fleet.at(1).mayRetry(createRequest("/lethal"), 1)).to.equal(false);
      expect(fleet.at(1).mayRetry(createRequest("/other"), 1)).to.equal(true);
      expect(fleet.at(1).mayRetry(createRequest("/other"), 2)).to.equal(false);
    });

    it("reports all requests that it ran, however many", () => {
      const runs = Array.from(
        { length: MANY },
        (_, index) => createRequest(`/${index}`),
      );
      fleet.crash(0, runs);
      fleet.deliver();
      runs.forEach((request) =>
        expect(fleet.classify(request)).to.deep.equal(atAll("suspect"))
      );
    });

    // Guards against suspecting popular requests, which are in flight at every crash: the crashed process has responded
    // to them before, so they can't have crashed it.
    it("does not suspect requests that the crashed process had responded to", () => {
      fleet.at(0).recordResponse(createRequest("/popular"), OK);
      fleet.crash(0, [createRequest("/popular"), createRequest("/lethal")]);
      fleet.deliver();
      expect(fleet.classify(createRequest("/popular"))).to.deep.equal(
        atAll("clear"),
      );
    });
  });

  // Guards against quarantining a popular request, whose callers are then refused for half a minute: it is sent to a
  // crashed server, on a connection whose break has not been detected. The one crash is reported twice, when the server
  // refuses connections and when the next process starts, and at the second report the responses of the crashed process
  // are no longer recorded.
  describe("when a connection breaks to a server that is known to have crashed", () => {
    it("suspects no request, and the next process's requests when that crashes", () => {
      fleet.at(0).recordResponse(createRequest("/popular"), OK);
      fleet.crash(0, [createRequest("/lethal")]);
      fleet.at(0).recordBrokenConnection(createRequest("/popular", 1), true);
      fleet.at(0).recordBackendEnd({ instance: "i-1", proof: "replaced" });
      fleet.deliver();
      expect(fleet.classify(createRequest("/popular"))).to.deep.equal(
        atAll("clear"),
      );
      fleet.crash(0, [createRequest("/other")]);
      fleet.deliver();
      expect(fleet.classify(createRequest("/other"))).to.deep.equal(
        atAll("suspect"),
      );
    });
  });

  describe("before a crash is known", () => {
    it("suspects a request whose connection broke, until it gets a response", () => {
      const retried = createRequest("/beside", 1);
      expect(fleet.at(1).classify(retried).kind).to.equal("suspect");
      fleet.at(1).recordResponse(retried, OK);
      expect(fleet.at(1).classify(retried).kind).to.equal("clear");
    });

    it("clears it when the crash is reported after its response", () => {
      fleet.at(1).recordResponse(createRequest("/beside", 1), OK);
      fleet.crash(0, [createRequest("/beside")]);
      fleet.deliver();
      expect(fleet.classify(createRequest("/beside"))).to.deep.equal(
        atAll("clear"),
      );
    });
  });

  // Guards against reports that are lost with either of two IP fragments.
  describe("when requests were running at many crashes", () => {
    it("reports and clears them in datagrams that are not fragmented", () => {
      const requests = Array.from(
        { length: MANY },
        (_, index) => createRequest(`/${index}`),
      );
      Array.from({ length: MANY }).forEach(() => {
        fleet.at(1).recordResponse(createRequest("/other"), OK);
        fleet.crash(1, requests);
      });
      fleet.nowMs += REPEAT_WAIT_MS;
      fleet.at(1).tick();
      requests.forEach((request) => fleet.at(0).recordResponse(request, OK));
      const sizes = fleet.sent.map(({ update }) =>
        encodeDatagram(update).length
      );
      expect(Math.max(...sizes)).to.be.at.most(MAX_DATAGRAM_BYTES);
    });
  });

  // Guards against a flood: each of many daemons that still repeat the report of an answered request would make each
  // daemon that knows of the response inform all others.
  describe("when a request that was answered is reported repeatedly", () => {
    it("informs all daemons once, then only those that report it", () => {
      fleet.at(1).recordResponse(createRequest("/beside", 1), OK);
      fleet.crash(0, [createRequest("/beside")]);
      const reports = fleet.sent.splice(0).filter(({ to }) =>
        to === DAEMONS[1]
      );
      const recipients = reports.concat(reports, reports).map(({ update }) => {
        fleet.at(1).applyUpdate(update);
        return fleet.sent.splice(0).map(({ to }) => to);
      });
      expect(recipients).to.deep.equal([
        [DAEMONS[0], DAEMONS[2]],
        [DAEMONS[0]],
        [DAEMONS[0]],
      ]);
    });
  });

  // Guards against a request that crashes servers without limit: one of many servers that fail has answered it, since it
  // failed before it came to what crashes it, and the crashes of the next minute were not reported.
  describe("when a failing server has responded with an error", () => {
    const fail = (index: number, request: RoutedRequest) =>
      fleet.at(index).recordResponse(request, INTERNAL_SERVER_ERROR);

    it("still suspects the request, and quarantines it when a second server crashes", () => {
      const lethal = createRequest("/lethal");
      fleet.crash(0, [lethal]);
      fleet.deliver();
      fail(1, lethal);
      fleet.deliver();
      expect(fleet.classify(lethal)).to.deep.equal(atAll("suspect"));
      fleet.crash(2, [lethal], true);
      fleet.deliver();
      expect(fleet.classify(lethal)).to.deep.equal(atAll("quarantined"));
    });

    it("keeps a request quarantined", () => {
      const lethal = createRequest("/lethal");
      fleet.crash(0, [lethal]);
      fleet.deliver();
      fleet.crash(1, [lethal], true);
      fleet.deliver();
      fail(2, lethal);
      fleet.deliver();
      expect(fleet.classify(lethal)).to.deep.equal(atAll("quarantined"));
    });

    it("suspects the request when the same process crashes", () => {
      const lethal = createRequest("/lethal");
      fail(0, lethal);
      fleet.crash(0, [lethal]);
      fleet.deliver();
      expect(fleet.classify(lethal)).to.deep.equal(atAll("suspect"));
    });

    it("suspects no request whose connection broke well before the response", () => {
      const broken = createRequest("/broken");
      fleet.at(0).recordBrokenConnection(broken, false);
      fleet.nowMs += RESPONSE_DELAY_MS;
      fail(0, createRequest("/other"));
      fleet.at(0).recordBackendEnd(CRASH);
      fleet.deliver();
      expect(fleet.classify(broken)).to.deep.equal(atAll("clear"));
    });

    it("clears the request once another server has served it", () => {
      const beside = createRequest("/beside");
      fleet.crash(0, [beside]);
      fleet.deliver();
      fail(1, beside);
      fleet.at(2).recordResponse(beside, OK);
      fleet.deliver();
      expect(fleet.classify(beside)).to.deep.equal(atAll("clear"));
    });
  });

  describe("when a second server has crashed while running a suspect", () => {
    const quarantine = () => {
      fleet.crash(0, [createRequest("/lethal"), createRequest("/beside")]);
      fleet.deliver();
      fleet.crash(1, [createRequest("/lethal")], true);
      fleet.deliver();
    };

    it("quarantines it at all daemons", () => {
      quarantine();
      expect(fleet.classify(createRequest("/lethal"))).to.deep.equal(
        atAll("quarantined"),
      );
      expect(fleet.classify(createRequest("/beside"))).to.deep.equal(
        atAll("suspect"),
      );
    });

    it("quarantines it at restarted daemons, and at those that missed the reports", () => {
      fleet.crash(0, [createRequest("/lethal")]);
      fleet.crash(1, [createRequest("/lethal", 1)], true);
      fleet.sent.splice(0);
      fleet.restart(0);
      fleet.nowMs += REPEAT_WAIT_MS;
      fleet.daemons.forEach((daemon) => daemon.tick());
      fleet.deliver();
      expect(fleet.classify(createRequest("/lethal"))).to.deep.equal(
        atAll("quarantined"),
      );
    });

    it("clears it everywhere once it gets a response, although it is still reported", () => {
      quarantine();
      fleet.nowMs += REPEAT_WAIT_MS;
      fleet.daemons.forEach((daemon) => daemon.tick());
      fleet.at(2).recordResponse(createRequest("/lethal"), OK);
      fleet.deliver((sent) => [...sent].reverse());
      expect(fleet.classify(createRequest("/lethal"))).to.deep.equal(
        atAll("clear"),
      );
    });
  });
});
