/**
 * Exchanges gossip with other daemons over UDP.
 *
 * Datagrams need no connections, which could become unresponsive, and the next round makes up for a lost datagram.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import type { Logger } from "@bamboolink/logger";
import {
  chooseGossipTargets,
  DatagramPacer,
  decodeGossip,
  encodeGossip,
  includesOtherReports,
  isInOtherZone,
  type MemberReport,
  type MemberView,
  type OutgoingDatagram,
  sampleWithoutReplacement,
} from "@bamboolink/membership";
import { monotonicMs } from "../clock.ts";
import {
  type Datagram,
  decodeDatagram,
  encodeDatagram,
  isGossip,
} from "./datagram_codec.ts";

/** Interval between gossip rounds, in milliseconds. */
export const GOSSIP_INTERVAL_MS = 500;
/** Minimum interval between requests for missing reports, in milliseconds. */
const REPORT_REQUEST_INTERVAL_MS = 200;
/**
 * Number of daemons to which an update is repeated, although nearly all have received it already. Each daemon repeats
 * it to this many, so each receives it about this often per interval.
 */
const REPEAT_FANOUT = 2;
/** Interval at which the datagrams of a broadcast are sent on a slow network link, in milliseconds. */
const PACING_INTERVAL_MS = 5;
const MAX_PORT = 65_535;

/** What a datagram contains. */
export type DatagramKind = "gossip" | Datagram["kind"];

interface KindedDatagram extends OutgoingDatagram {
  readonly kind: DatagramKind;
}

/** Dependencies of a gossip node. */
export interface GossipNodeContext {
  readonly address: string;
  readonly view: MemberView;
  readonly logger: Logger;
  readonly random: () => number;
  /** Bandwidth of the host's network link, in bytes per second; `Infinity` if unknown. */
  readonly linkBytesPerSecond: number;
  /** Returns the current values of this daemon's own report. */
  readonly describeSelf: () => Partial<MemberReport>;
  /** Called with reports that are newer than the known ones. */
  readonly onReports: (reports: readonly MemberReport[]) => void;
  /** Called with each report of an earlier process at this daemon's address. */
  readonly onEarlierReport: (report: MemberReport) => void;
  /** Called when a daemon has responded to a request for reports, with or without reports. */
  readonly onReportsAnswered: (peer: string) => void;
  /** Called with each datagram that is not gossip. */
  readonly onDatagram: (datagram: Datagram) => void;
  /** Called with the size of each datagram that is sent, in bytes. */
  readonly onSent?: (
    address: string,
    kind: DatagramKind,
    bytes: number,
  ) => void;
}

/** Sends and receives one daemon's gossip and other datagrams. */
export class GossipNode {
  private readonly socket: Socket = createSocket("udp4");
  private readonly pacer: DatagramPacer<KindedDatagram>;
  private pacingTimer: NodeJS.Timeout | undefined;
  private requestedAtMs = -Infinity;
  private isClosed = false;

  private constructor(private readonly context: GossipNodeContext) {
    this.pacer = DatagramPacer.create(context.linkBytesPerSecond);
  }

  /** Creates a node that is not listening yet. */
  static create(context: GossipNodeContext): GossipNode {
    return new GossipNode(context);
  }

  /** Whether datagrams of a broadcast have not been sent yet. */
  get isSending(): boolean {
    return this.pacer.waitingCount > 0;
  }

  /** Starts listening. Rejects if the address can't be bound. */
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

  /** Sends gossip to a few daemons. */
  runRound(): void {
    const { view, random } = this.context;
    const now = { nowMs: monotonicMs(), random };
    const { full, brief } = this.createGossip();
    chooseGossipTargets(view, now).forEach((address) => {
      const bytes = includesOtherReports(view, address, now) ? full : brief();
      this.send({ bytes, address, kind: "gossip" });
    });
  }

  /**
   * Sends gossip to all alive daemons, for changes that others must know soon: at once, or, on a slow network link, at
   * its bandwidth.
   */
  announce(): void {
    const { view } = this.context;
    this.pacer.remove(({ kind }) => kind === "gossip");
    const { full, brief } = this.createGossip();
    this.sendToAll(
      "gossip",
      (address) => isInOtherZone(view, address) ? brief() : full,
    );
  }

  /** Sends a datagram that is not gossip to one daemon. */
  sendDatagram(datagram: Datagram, address: string): void {
    const bytes = encodeDatagram(datagram);
    this.send({ bytes, address, kind: datagram.kind });
  }

  /** Sends a datagram that is not gossip to all alive daemons: at once, or at the bandwidth of the network link. */
  broadcast(datagram: Datagram): void {
    const bytes = encodeDatagram(datagram);
    this.sendToAll(datagram.kind, () => bytes);
  }

  /** Sends a datagram that is not gossip to a few alive daemons, chosen at random each time. */
  sendToSome(datagram: Datagram): void {
    const { view, random } = this.context;
    const alive = view.alive(monotonicMs());
    sampleWithoutReplacement(alive, { count: REPEAT_FANOUT, random })
      .forEach(({ address }) => this.sendDatagram(datagram, address));
  }

  /** Requests from a daemon the report of an earlier process at this daemon's address. */
  requestEarlierReport(peer: string): void {
    const { ownAddressHash, ownReport } = this.context.view;
    this.sendDatagram({
      kind: "ask_reports",
      sender: ownReport.address,
      names: [ownAddressHash],
    }, peer);
  }

  /** Closes the socket; datagrams that other components still send are dropped. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.pacingTimer);
    this.socket.close();
  }

  /** Encodes gossip with reports of other daemons, and, if it is needed, with this daemon's report only. */
  private createGossip(): { full: Uint8Array; brief: () => Uint8Array } {
    const { view, random } = this.context;
    view.updateOwnReport(this.context.describeSelf());
    const sender = view.ownReport.address;
    const reports = view.chooseReports({ nowMs: monotonicMs(), random });
    const digests = view.chooseDigests({ nowMs: monotonicMs(), random });
    let brief: Uint8Array | undefined;
    return {
      full: encodeGossip({ sender, reports, digests }),
      brief: () =>
        brief ??= encodeGossip({ sender, reports: [view.ownReport], digests }),
    };
  }

  private sendToAll(
    kind: DatagramKind,
    bytesFor: (address: string) => Uint8Array,
  ): void {
    const alive = this.context.view.alive(monotonicMs());
    this.pacer.add(
      alive.map(({ address }) => ({ bytes: bytesFor(address), address, kind })),
    );
    this.sendDue();
  }

  private sendDue(): void {
    clearTimeout(this.pacingTimer);
    this.pacer.takeDue(monotonicMs())
      .forEach((datagram) => this.send(datagram));
    if (this.isSending) {
      this.pacingTimer = setTimeout(() => this.sendDue(), PACING_INTERVAL_MS);
    }
  }

  /** Addresses come from the store and from datagrams, so they may be invalid. */
  private send({ bytes, address, kind }: KindedDatagram): void {
    if (this.isClosed) {
      return;
    }
    const { host, port } = splitAddress(address);
    if (!isAddress(address)) {
      this.context.logger.log("gossip_failed", { peer: address });
      return;
    }
    this.context.onSent?.(address, kind, bytes.length);
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
            ? this.sendReports(datagram.sender, datagram.names)
            : onDatagram(datagram),
        (cause) => logger.log("gossip_malformed", { cause }),
      );
      return;
    }
    decodeGossip(bytes, (version) => view.isUpdate(version)).match(
      ({ sender, reports, digests, skippedReports }) => {
        if (skippedReports > 0) {
          logger.log("gossip_malformed", {
            peer: sender,
            left_out: skippedReports,
          });
        }
        const nowMs = monotonicMs();
        const newReports = view.merge(reports, nowMs);
        this.requestReports(sender, view.mergeDigests(digests, nowMs));
        if (newReports.length > 0) {
          onReports(newReports);
        }
        this.handleEarlierReports(reports);
        if (digests.length === 0) {
          // Only responses to a request for reports contain no digests.
          this.context.onReportsAnswered(sender);
        }
      },
      (cause) => logger.log("gossip_malformed", { cause }),
    );
  }

  private handleEarlierReports(reports: readonly MemberReport[]): void {
    reports.filter(({ address }) => address === this.context.address)
      .forEach((report) => this.context.onEarlierReport(report));
  }

  /**
   * Requests missing reports. Without such requests, a daemon that starts in a fleet of 195 still lacks reports of some
   * daemons after 10 s.
   */
  private requestReports(peer: string, names: number[]): void {
    const nowMs = monotonicMs();
    if (
      names.length === 0 ||
      nowMs - this.requestedAtMs < REPORT_REQUEST_INTERVAL_MS
    ) {
      return;
    }
    this.requestedAtMs = nowMs;
    const sender = this.context.view.ownReport.address;
    this.sendDatagram({ kind: "ask_reports", sender, names }, peer);
  }

  /** Sends the requested reports, and its own: a daemon that has just started may lack it, too. */
  private sendReports(peer: string, names: readonly number[]): void {
    const { view } = this.context;
    view.updateOwnReport(this.context.describeSelf());
    const reports = [view.ownReport, ...view.findReports(names)];
    const sender = view.ownReport.address;
    const bytes = encodeGossip({ sender, reports, digests: [] });
    this.send({ bytes, address: peer, kind: "gossip" });
  }
}

/** Splits `HOST:PORT`; does not validate it. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/**
 * Whether a text is `HOST:PORT` with a valid port. A socket throws if the port is invalid, which would end the process,
 * so an invalid address in the store or in a datagram must be rejected first.
 */
export function isAddress(text: string): boolean {
  const { host, port } = splitAddress(text);
  return host !== "" && Number.isInteger(port) && port > 0 &&
    port <= MAX_PORT;
}
