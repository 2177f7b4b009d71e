/**
 * Sends requests to the daemons beside other backend servers.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type { Logger } from "@bamboolink/logger";
import { AcknowledgementTimes } from "./acknowledgement_times.ts";
import type { Cancellation } from "./cancellation.ts";
import { steadyMs } from "./clock.ts";
import { LinkClient, type LinkRequest } from "./link_client.ts";
import type { LoadReport } from "./link_codec.ts";
import {
  notRun,
  type Outcome,
  type RoutedRequest,
  unknown,
} from "./routed_request.ts";

/** A link on which nothing was sent for so long is closed, in milliseconds: most pairs of daemons rest. */
const IDLE_MS = 20_000;

/** What the forwarder needs. */
export interface ForwarderContext {
  readonly logger: Logger;
  /** Called with what another daemon says of its backend server and of a route there. */
  readonly onLoad: (daemon: string, route: string, load: LoadReport) => void;
  /** Called when a daemon can't be reached. */
  readonly onUnreachable: (daemon: string) => void;
}

/** Where a request goes, and until when it is wanted. */
export interface ForwardTarget {
  /** Address of the daemon; its links are taken there. */
  readonly daemon: string;
  readonly cancellation: Cancellation;
  /** Whether the request is better sent elsewhere than left with a daemon that says nothing. */
  readonly mayGiveUp: () => boolean;
}

/** The ways to all other daemons. */
export class Forwarder {
  /** The link to each daemon that new requests are sent on. */
  private readonly links = new Map<string, LinkClient>();
  /** Links that have gone silent, with what is still under way on them. */
  private retired: LinkClient[] = [];
  private readonly acknowledgements = AcknowledgementTimes.create();

  private constructor(private readonly context: ForwarderContext) {}

  /** Creates a forwarder without links. */
  static create(context: ForwarderContext): Forwarder {
    return new Forwarder(context);
  }

  /** Sends a request to a daemon. It never throws. */
  forward(work: RoutedRequest, to: ForwardTarget): Promise<Outcome> {
    const { cancellation, mayGiveUp } = to;
    if (cancellation.isCancelled) {
      return Promise.resolve(notRun("cancelled"));
    }
    const { daemon } = to;
    const link = this.linkTo(daemon);
    const sentAtMs = steadyMs();
    return new Promise((resolve) => {
      const finish = (outcome: Outcome) => {
        cancellation.remove(cancel);
        resolve(outcome);
      };
      const lose = (isSent: boolean, cause?: BamboolinkError) => {
        this.noteUnreachable(work, { daemon, cause });
        finish(
          isSent ? unknown("connection_lost") : notRun("peer_unreachable"),
        );
      };
      const id = link.send(work, {
        onAcknowledged: () => this.acknowledgements.note(steadyMs() - sentAtMs),
        onOutcome: (outcome, load) => {
          this.context.onLoad(daemon, work.route, load);
          finish(outcome);
        },
        onUnresponsive: () => {
          if (mayGiveUp()) {
            lose(link.cancel(id));
          }
        },
        onLost: lose,
      });
      const cancel = () => {
        const reason = cancellation.reason ?? "cancelled";
        finish(link.cancel(id) ? unknown(reason) : notRun("cancelled"));
      };
      cancellation.onCancel(cancel);
    });
  }

  /** Gives up on daemons that say nothing, and closes links that are not needed any more. */
  tick(): void {
    const nowMs = steadyMs();
    this.links.forEach((link, daemon) => this.review(link, { daemon, nowMs }));
    this.retired = this.retired.filter((link) => {
      this.giveUpSilent(link, nowMs);
      if (link.isIdle) {
        link.close();
      }
      return !link.isIdle;
    });
  }

  /** Closes all links. */
  close(): void {
    [...this.links.values(), ...this.retired].forEach((link) => link.close());
    this.links.clear();
    this.retired = [];
  }

  private review(
    link: LinkClient,
    at: { daemon: string; nowMs: number },
  ): void {
    const { daemon, nowMs } = at;
    if (link.isIdle) {
      if (!link.isUsable || nowMs - link.lastUsedAtMs > IDLE_MS) {
        this.links.delete(daemon);
        link.close();
      }
      return;
    }
    const silent = this.findSilent(link, nowMs);
    if (silent.some(({ sentAtMs }) => link.lastReceivedAtMs < sentAtMs)) {
      // The connection may be dead while new ones work; what is under way on it stays there.
      this.links.delete(daemon);
      this.retired.push(link);
    }
    silent.forEach(({ listener }) => listener.onUnresponsive());
  }

  private giveUpSilent(link: LinkClient, nowMs: number): void {
    this.findSilent(link, nowMs).forEach(({ listener }) =>
      listener.onUnresponsive()
    );
  }

  /** Requests that should have been acknowledged long ago. */
  private findSilent(link: LinkClient, nowMs: number): LinkRequest[] {
    const { limitMs } = this.acknowledgements;
    return link.findUnacknowledged().filter(({ sentAtMs }) =>
      nowMs - sentAtMs > limitMs
    );
  }

  private noteUnreachable(
    work: RoutedRequest,
    loss: { daemon: string; cause: BamboolinkError | undefined },
  ): void {
    const { daemon, cause } = loss;
    this.context.logger.log("peer_unreachable", {
      request_id: work.id,
      peer: daemon,
      cause: cause ?? "silent",
    });
    this.context.onUnreachable(daemon);
  }

  private linkTo(daemon: string): LinkClient {
    const known = this.links.get(daemon);
    if (known?.isUsable === true) {
      return known;
    }
    if (known !== undefined) {
      this.retired.push(known);
    }
    const link = LinkClient.create(daemon, steadyMs);
    this.links.set(daemon, link);
    return link;
  }
}
