/**
 * Exchanges gossip with other daemons by datagrams.
 *
 * Datagrams have no connections that could go silent, and a lost one is made up for by the next round.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import type { Logger } from "@bamboolink/logger";
import {
  chooseGossipTargets,
  decodeGossip,
  encodeGossip,
  type MemberReport,
  type MemberView,
  sampleWithoutReplacement,
} from "@bamboolink/membership";
import { steadyMs } from "./clock.ts";
import {
  type Datagram,
  decodeDatagram,
  encodeDatagram,
  isGossip,
} from "./datagram_codec.ts";

/** Time between two rounds, in milliseconds. */
export const ROUND_MS = 500;
/** Time between two questions for reports that are lacking, in milliseconds. */
const ASK_MS = 200;
/** So many daemons are told of what nearly all know: each hears it about as often from others. */
const SOME = 2;
const LARGEST_PORT = 65_535;

/** What the node needs. */
export interface GossipNodeContext {
  readonly address: string;
  readonly view: MemberView;
  readonly logger: Logger;
  readonly random: () => number;
  /** What the daemon says of itself now. */
  readonly describe: () => Partial<MemberReport>;
  /** Called with the reports that were new. */
  readonly onReports: (reports: readonly MemberReport[]) => void;
  /** Called with each datagram beside gossip. */
  readonly onDatagram: (datagram: Datagram) => void;
}

/** One daemon's end of the gossip. */
export class GossipNode {
  private readonly socket: Socket = createSocket("udp4");
  private askedAtMs = -Infinity;

  private constructor(private readonly context: GossipNodeContext) {}

  /** Creates a node that does not listen yet. */
  static create(context: GossipNodeContext): GossipNode {
    return new GossipNode(context);
  }

  /** Begins to listen. */
  start(): Promise<void> {
    const { host, port } = splitAddress(this.context.address);
    this.socket.on("message", (bytes) => this.receive(bytes));
    return new Promise((resolve, reject) => {
      this.socket.once("error", reject);
      this.socket.bind(port, host, () => {
        this.socket.removeListener("error", reject);
        this.socket.on(
          "error",
          (cause) => this.context.logger.log("gossip_failed", { cause }),
        );
        resolve();
      });
    });
  }

  /** Tells a few daemons. */
  round(): void {
    const { view, random } = this.context;
    view.updateOwnReport(this.context.describe());
    const targets = chooseGossipTargets(view, { nowMs: steadyMs(), random });
    this.tell(targets);
  }

  /** Tells all living daemons at once, because something must be known soon. */
  announce(): void {
    const { view } = this.context;
    view.updateOwnReport(this.context.describe());
    this.tell(view.alive(steadyMs()).map(({ address }) => address));
  }

  /** Sends a datagram beside gossip to one daemon. */
  sendDatagram(datagram: Datagram, address: string): void {
    this.send(encodeDatagram(datagram), address);
  }

  /** Sends a datagram beside gossip to all living daemons. */
  spread(datagram: Datagram): void {
    const bytes = encodeDatagram(datagram);
    this.context.view.alive(steadyMs())
      .forEach(({ address }) => this.send(bytes, address));
  }

  /** Sends a datagram beside gossip to a few living daemons, others each time. */
  spreadToSome(datagram: Datagram): void {
    const { view, random } = this.context;
    const alive = view.alive(steadyMs());
    sampleWithoutReplacement(alive, { count: SOME, random })
      .forEach(({ address }) => this.sendDatagram(datagram, address));
  }

  /** Stops. */
  close(): void {
    this.socket.close();
  }

  private tell(addresses: readonly string[]): void {
    const { view, random } = this.context;
    const sender = view.ownReport.address;
    const reports = view.chooseReports({ nowMs: steadyMs(), random });
    const digests = view.chooseDigests({ nowMs: steadyMs(), random });
    const bytes = encodeGossip({ sender, reports, digests });
    addresses.forEach((address) => this.send(bytes, address));
  }

  /** Addresses come from the store and from datagrams, so anything may stand there. */
  private send(bytes: Uint8Array, address: string): void {
    const { host, port } = splitAddress(address);
    if (!isAddress(address)) {
      this.context.logger.log("gossip_failed", { peer: address });
      return;
    }
    this.socket.send(bytes, port, host, (cause) => {
      if (cause !== null) {
        this.context.logger.log("gossip_failed", { peer: address, cause });
      }
    });
  }

  private receive(bytes: Uint8Array): void {
    const { view, logger, onReports, onDatagram } = this.context;
    if (!isGossip(bytes)) {
      decodeDatagram(bytes).match(
        (datagram) =>
          datagram.kind === "ask_reports"
            ? this.answerReports(datagram.sender, datagram.names)
            : onDatagram(datagram),
        (cause) => logger.log("gossip_malformed", { cause }),
      );
      return;
    }
    decodeGossip(bytes, (name) => view.isUpdate(name)).match(
      ({ sender, reports, digests, skippedReports }) => {
        if (skippedReports > 0) {
          logger.log("gossip_malformed", {
            peer: sender,
            left_out: skippedReports,
          });
        }
        const nowMs = steadyMs();
        const fresh = view.merge(reports, nowMs);
        this.askReports(sender, view.mergeDigests(digests, nowMs));
        if (fresh.length > 0) {
          onReports(fresh);
        }
      },
      (cause) => logger.log("gossip_malformed", { cause }),
    );
  }

  /**
   * Asks for reports that are lacking. Left to chance, a daemon that starts among 195 had not heard of all of them
   * after 10 s.
   */
  private askReports(peer: string, names: number[]): void {
    const nowMs = steadyMs();
    if (names.length === 0 || nowMs - this.askedAtMs < ASK_MS) {
      return;
    }
    this.askedAtMs = nowMs;
    const sender = this.context.view.ownReport.address;
    this.sendDatagram({ kind: "ask_reports", sender, names }, peer);
  }

  private answerReports(peer: string, names: readonly number[]): void {
    const { view } = this.context;
    const reports = view.findReports(names);
    const sender = view.ownReport.address;
    this.send(encodeGossip({ sender, reports, digests: [] }), peer);
  }
}

/** Splits `HOST:PORT`. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/**
 * Whether a text is `HOST:PORT`. What goes wrong without it: a socket throws at a port that is none, and the process
 * ends, because somebody has written or sent an address that is none.
 */
export function isAddress(text: string): boolean {
  const { host, port } = splitAddress(text);
  return host !== "" && Number.isInteger(port) && port > 0 &&
    port <= LARGEST_PORT;
}
