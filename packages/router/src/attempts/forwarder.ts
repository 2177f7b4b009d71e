/**
 * Forwards requests to the daemons of other backend servers, over one link per daemon.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type { Logger } from "@bamboolink/logger";
import { AcknowledgementTimes } from "../links/acknowledgement_times.ts";
import type { Cancellation } from "./cancellation.ts";
import { monotonicMs } from "../clock.ts";
import { LinkClient, type LinkRequest } from "../links/link_client.ts";
import type { LoadReport } from "../links/link_codec.ts";
import {
  notRun,
  type Outcome,
  type RoutedRequest,
  unknown,
} from "./routed_request.ts";

/**
 * A link that has been idle for this long is closed, in milliseconds: most pairs of daemons rarely exchange requests.
 */
const LINK_IDLE_TIMEOUT_MS = 20_000;

/** Dependencies of {@link Forwarder}. */
export interface ForwarderContext {
  readonly logger: Logger;
  /**
   * Called with the load that another daemon reports for its backend server and a route there. `isCompleted`: whether
   * the server has just completed a request of the route.
   */
  readonly onLoad: (
    daemon: string,
    report: { route: string; load: LoadReport; isCompleted: boolean },
  ) => void;
  /** Called when a daemon is unreachable. */
  readonly onUnreachable: (daemon: string) => void;
  /** Called with the number of bytes of requests to a daemon, or of responses from it. */
  readonly onBytes?: (
    daemon: string,
    kind: "request" | "response",
    bytes: number,
  ) => void;
}

/** Destination of a request, and the conditions for abandoning it. */
export interface ForwardTarget {
  /** Address of the daemon, where it accepts links. */
  readonly daemon: string;
  readonly cancellation: Cancellation;
  /** Whether the request should be retried elsewhere rather than left with a daemon that doesn't acknowledge it. */
  readonly mayGiveUp: () => boolean;
}

/** The links to all other daemons. */
export class Forwarder {
  /** The link of each daemon for new requests. */
  private readonly links = new Map<string, LinkClient>();
  /** Unresponsive or unusable links, kept until the requests in flight on them have ended. */
  private retired: LinkClient[] = [];
  private readonly acknowledgements = AcknowledgementTimes.create();

  private constructor(private readonly context: ForwarderContext) {}

  /** Creates a forwarder without links. */
  static create(context: ForwarderContext): Forwarder {
    return new Forwarder(context);
  }

  /** Sends a request to a daemon, and returns its outcome. It never throws. */
  forward(request: RoutedRequest, to: ForwardTarget): Promise<Outcome> {
    const { cancellation, mayGiveUp } = to;
    if (cancellation.isCancelled) {
      return Promise.resolve(notRun("cancelled"));
    }
    const { daemon } = to;
    const link = this.acquireLink(daemon);
    const sentAtMs = monotonicMs();
    return new Promise((resolve) => {
      const finish = (outcome: Outcome) => {
        cancellation.remove(cancel);
        resolve(outcome);
      };
      const handleLoss = (isSent: boolean, cause?: BamboolinkError) => {
        this.reportUnreachable(request, { daemon, cause, link });
        finish(
          isSent ? unknown("connection_lost") : notRun("peer_unreachable"),
        );
      };
      const id = link.send(request, {
        onAcknowledged: () =>
          this.acknowledgements.record(monotonicMs() - sentAtMs),
        onOutcome: (outcome, load) => {
          this.context.onLoad(daemon, {
            route: request.route,
            load,
            isCompleted: outcome.kind === "answer",
          });
          finish(outcome);
        },
        onUnresponsive: () => {
          if (mayGiveUp()) {
            handleLoss(link.cancel(id));
          }
        },
        onLost: handleLoss,
      });
      const cancel = () => {
        const reason = cancellation.reason ?? "cancelled";
        finish(link.cancel(id) ? unknown(reason) : notRun("cancelled"));
      };
      cancellation.onCancel(cancel);
    });
  }

  /** Abandons retryable requests at unresponsive daemons, and closes idle links. Called by a timer. */
  tick(): void {
    const nowMs = monotonicMs();
    this.links.forEach((link, daemon) =>
      this.checkLink(link, { daemon, nowMs })
    );
    this.retired = this.retired.filter((link) => {
      this.notifyUnresponsive(link, nowMs);
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

  private checkLink(
    link: LinkClient,
    at: { daemon: string; nowMs: number },
  ): void {
    const { daemon, nowMs } = at;
    if (link.isIdle) {
      if (!link.isUsable || nowMs - link.lastUsedAtMs > LINK_IDLE_TIMEOUT_MS) {
        this.links.delete(daemon);
        link.close();
      }
      return;
    }
    const overdue = this.findOverdue(link, nowMs);
    if (overdue.some(({ sentAtMs }) => link.lastReceivedAtMs < sentAtMs)) {
      // The connection may be dead although a new one would work. Requests in flight stay on it.
      this.links.delete(daemon);
      this.retired.push(link);
    }
    overdue.forEach(({ listener }) => listener.onUnresponsive());
  }

  private notifyUnresponsive(link: LinkClient, nowMs: number): void {
    this.findOverdue(link, nowMs).forEach(({ listener }) =>
      listener.onUnresponsive()
    );
  }

  /** Finds requests that have not been acknowledged within the timeout, which follows from earlier acknowledgements. */
  private findOverdue(link: LinkClient, nowMs: number): LinkRequest[] {
    const { timeoutMs } = this.acknowledgements;
    return link.findUnacknowledged().filter(({ sentAtMs }) =>
      nowMs - sentAtMs > timeoutMs
    );
  }

  private reportUnreachable(
    request: RoutedRequest,
    loss: {
      daemon: string;
      cause: BamboolinkError | undefined;
      link: LinkClient;
    },
  ): void {
    const { daemon, cause, link } = loss;
    this.context.logger.log("peer_unreachable", {
      request_id: request.id,
      peer: daemon,
      cause: cause ?? "silent",
      body_bytes: request.body?.length ?? 0,
      unsent_bytes: link.unsentBytes,
    });
    this.context.onUnreachable(daemon);
  }

  private acquireLink(daemon: string): LinkClient {
    const known = this.links.get(daemon);
    if (known?.isUsable === true) {
      return known;
    }
    if (known !== undefined) {
      this.retired.push(known);
    }
    const link = LinkClient.create(
      daemon,
      monotonicMs,
      (direction, bytes) =>
        this.context.onBytes?.(
          daemon,
          direction === "sent" ? "request" : "response",
          bytes,
        ),
    );
    this.links.set(daemon, link);
    return link;
  }
}
