/**
 * Tests of what daemons tell each other of requests under which backend servers end.
 *
 * @module
 */
import { expect } from "chai";
import { Logger } from "@bamboolink/logger";
import {
  type QuarantineUpdate,
  RequestQuarantine,
} from "./request_quarantine.ts";
import { SAMPLE_REQUEST } from "./testing/sample_request.ts";
import type { RoutedRequest } from "./routed_request.ts";

const DAEMONS = ["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"];
/** More than one datagram tells of. */
const MANY = 40;
/** Longer than the pause between two retellings, in milliseconds. */
const RETELLING_MS = 1_100;
/** Distance between two draws: no two of a test are the same. */
const STEP = 0.618;
const END = { instance: "i-1", proof: "refused" } as const;

const ask = (target: string, brokenConnections = 0): RoutedRequest => ({
  ...SAMPLE_REQUEST,
  target,
  brokenConnections,
});

/** Daemons that hear each other when the test says so. */
class Fleet {
  nowMs = 1_000;
  private drawn = 0;
  readonly sent: { to: string; news: QuarantineUpdate }[] = [];
  readonly daemons = new Map(
    DAEMONS.map((address) => [address, this.createDaemon(address)]),
  );

  static create(): Fleet {
    return new Fleet();
  }

  at(index: number): RequestQuarantine {
    return this.daemons.get(DAEMONS[index]!)!;
  }

  /** A daemon starts again and has forgotten all. */
  restart(index: number): void {
    const address = DAEMONS[index]!;
    this.daemons.set(address, this.createDaemon(address));
  }

  /** Delivers what was sent, until nothing more is. */
  deliver(order: (sent: Fleet["sent"]) => Fleet["sent"] = (sent) => sent) {
    while (this.sent.length > 0) {
      order(this.sent.splice(0)).forEach(({ to, news }) =>
        this.daemons.get(to)!.applyUpdate(news)
      );
    }
  }

  /** The server beside a daemon ends while it runs requests. */
  end(
    index: number,
    runs: readonly RoutedRequest[],
    isOnProbation = false,
  ): void {
    const daemon = this.at(index);
    runs.forEach((work) => daemon.recordBrokenConnection(work, isOnProbation));
    daemon.recordBackendEnd(END);
  }

  /** How each daemon would run a request. */
  judge(work: RoutedRequest): string[] {
    return [...this.daemons.values()].map((daemon) =>
      daemon.classify(work).kind
    );
  }

  private createDaemon(address: string): RequestQuarantine {
    const others = DAEMONS.filter((other) => other !== address);
    const tell = (news: QuarantineUpdate) =>
      others.forEach((to) => this.sent.push({ to, news }));
    return RequestQuarantine.create({
      address,
      logger: Logger.createBounded("test", { level: "error" }),
      random: () => {
        this.drawn = (this.drawn + STEP) % 1;
        return this.drawn;
      },
      nowMs: () => this.nowMs,
      broadcast: tell,
      sendToSome: tell,
    });
  }
}

const ALL = (kind: string) => DAEMONS.map(() => kind);

describe("RequestQuarantine", () => {
  let fleet: Fleet;

  beforeEach(() => {
    fleet = Fleet.create();
  });

  describe("after a server has ended", () => {
    it("has all daemons run what was lost there alone, and sent on once", () => {
      fleet.end(0, [ask("/lethal"), ask("/beside")]);
      fleet.deliver();
      expect(fleet.judge(ask("/lethal"))).to.deep.equal(ALL("suspect"));
      expect(fleet.judge(ask("/beside"))).to.deep.equal(ALL("suspect"));
      expect(fleet.judge(ask("/other"))).to.deep.equal(ALL("clear"));
      expect(fleet.at(1).mayRetry(ask("/lethal"), 1)).to.equal(false);
      expect(fleet.at(1).mayRetry(ask("/other"), 1)).to.equal(true);
      expect(fleet.at(1).mayRetry(ask("/other"), 2)).to.equal(false);
    });

    it("tells of all that it ran, however much that is", () => {
      const runs = Array.from({ length: MANY }, (_, index) => ask(`/${index}`));
      fleet.end(0, runs);
      fleet.deliver();
      runs.forEach((work) =>
        expect(fleet.judge(work)).to.deep.equal(ALL("suspect"))
      );
    });

    // Popular requests are under way at every end. The ended process had answered them, so they have not ended it.
    it("does not suspect what the ended process had answered", () => {
      fleet.at(0).recordResponse(ask("/popular"));
      fleet.end(0, [ask("/popular"), ask("/lethal")]);
      fleet.deliver();
      expect(fleet.judge(ask("/popular"))).to.deep.equal(ALL("clear"));
    });
  });

  // A popular request was quarantined, and its callers refused for half a minute. It was sent to a server that was gone
  // already, on a connection that had not been found closed; the one end was told twice, when nobody listened any more
  // and when the next process came, and the second time nothing was known of what the ended one had answered.
  describe("when a connection to a server breaks that is known to have ended", () => {
    it("blames nothing for it, and the next process's end on what it runs", () => {
      fleet.at(0).recordResponse(ask("/popular"));
      fleet.end(0, [ask("/lethal")]);
      fleet.at(0).recordBrokenConnection(ask("/popular", 1), true);
      fleet.at(0).recordBackendEnd({ instance: "i-1", proof: "replaced" });
      fleet.deliver();
      expect(fleet.judge(ask("/popular"))).to.deep.equal(ALL("clear"));
      fleet.end(0, [ask("/other")]);
      fleet.deliver();
      expect(fleet.judge(ask("/other"))).to.deep.equal(ALL("suspect"));
    });
  });

  describe("before anybody knows of an end", () => {
    it("runs alone what has lost a connection, until it is answered", () => {
      const sentOn = ask("/beside", 1);
      expect(fleet.at(1).classify(sentOn).kind).to.equal("suspect");
      fleet.at(1).recordResponse(sentOn);
      expect(fleet.at(1).classify(sentOn).kind).to.equal("clear");
    });

    it("clears it when the end is told after its answer", () => {
      fleet.at(1).recordResponse(ask("/beside", 1));
      fleet.end(0, [ask("/beside")]);
      fleet.deliver();
      expect(fleet.judge(ask("/beside"))).to.deep.equal(ALL("clear"));
    });
  });

  describe("when a second server has ended under a suspect", () => {
    const quarantine = () => {
      fleet.end(0, [ask("/lethal"), ask("/beside")]);
      fleet.deliver();
      fleet.end(1, [ask("/lethal")], true);
      fleet.deliver();
    };

    it("quarantines it at all daemons", () => {
      quarantine();
      expect(fleet.judge(ask("/lethal"))).to.deep.equal(ALL("quarantined"));
      expect(fleet.judge(ask("/beside"))).to.deep.equal(ALL("suspect"));
    });

    it("does so at daemons that start again, and at those that heard nothing", () => {
      fleet.end(0, [ask("/lethal")]);
      fleet.end(1, [ask("/lethal", 1)], true);
      fleet.sent.splice(0);
      fleet.restart(0);
      fleet.nowMs += RETELLING_MS;
      fleet.daemons.forEach((daemon) => daemon.tick());
      fleet.deliver();
      expect(fleet.judge(ask("/lethal"))).to.deep.equal(ALL("quarantined"));
    });

    it("clears it everywhere once it is answered, though it is still retold", () => {
      quarantine();
      fleet.nowMs += RETELLING_MS;
      fleet.daemons.forEach((daemon) => daemon.tick());
      fleet.at(2).recordResponse(ask("/lethal"));
      fleet.deliver((sent) => [...sent].reverse());
      expect(fleet.judge(ask("/lethal"))).to.deep.equal(ALL("clear"));
    });
  });
});
