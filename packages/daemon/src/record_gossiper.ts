/**
 * Gossips records between daemons: new records are pushed to a few neighbours immediately, and revisions are
 * compared with one neighbour periodically, to repair missed updates.
 *
 * The cost per daemon does not depend on the size of the fleet.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import {
  ExchangeRequestSchema,
  fromWireDelta,
  toWireDelta,
} from "@bamboolink/protocol";
import { BackgroundTask } from "./background_task.ts";
import type { Fleet } from "./fleet.ts";
import type { Logger } from "@bamboolink/logger";
import type { PeerClients } from "./peer_clients.ts";
import type { Randomness } from "./randomness.ts";

/** Number of neighbours to which one daemon pushes updates. */
export const NEIGHBOUR_COUNT = 6;
/** Average time between two comparisons of revisions with a neighbour, in milliseconds. */
const COMPARE_INTERVAL_MS = 1_000;

/** Gossips the records of one daemon. */
export class RecordGossiper {
  private readonly compareTask: BackgroundTask;
  /** Revision up to which each neighbour's copy is known to be complete, by control address. */
  private readonly peerRevisions = new Map<string, number>();
  private readonly pendingPushes = new Set<string>();
  private nextCompareAtMs = 0;

  private constructor(
    private readonly context: {
      fleet: Fleet;
      clients: PeerClients;
      logger: Logger;
      randomness: Randomness;
      /** Control addresses of the neighbours. */
      neighbours: () => readonly string[];
      /** Id of this daemon's session, by which the peer finds the sender's address. */
      sessionId: () => string;
    },
  ) {
    this.compareTask = BackgroundTask.create(
      context.logger,
      "record_spreader.compare",
    );
  }

  /** Creates a gossiper. */
  static create(context: RecordGossiper["context"]): RecordGossiper {
    return new RecordGossiper(context);
  }

  /**
   * Runs one step of the control loop.
   *
   * @param nowMs current time on the monotonic clock, in milliseconds.
   */
  tick(nowMs: number): void {
    if (nowMs < this.nextCompareAtMs) {
      return;
    }
    this.nextCompareAtMs = nowMs +
      COMPARE_INTERVAL_MS * (0.75 + this.context.randomness.next() / 2);
    const neighbours = this.context.neighbours();
    const chosen = neighbours[
      Math.floor(this.context.randomness.next() * neighbours.length)
    ];
    if (chosen !== undefined) {
      this.compareTask.start(() => this.exchange(chosen));
    }
  }

  /** Pushes updates to the neighbours that are not known to have them. */
  push(): void {
    this.context.neighbours()
      .filter((address) =>
        (this.peerRevisions.get(address) ?? 0) < this.context.fleet.revision
      )
      .filter((address) => !this.pendingPushes.has(address))
      .forEach((address) => {
        this.pendingPushes.add(address);
        void this.exchange(address).finally(() =>
          this.pendingPushes.delete(address)
        );
      });
  }

  /** Records the revision that a neighbour reported in a request. */
  recordPeerRevision(address: string, revision: number): void {
    this.peerRevisions.set(
      address,
      Math.max(revision, this.peerRevisions.get(address) ?? 0),
    );
  }

  /** Brings both copies to the same revision, with one request if the peer's revision was assumed correctly. */
  private async exchange(address: string): Promise<void> {
    const peerRevision = await this.send(
      address,
      this.peerRevisions.get(address),
    );
    if (
      peerRevision !== undefined && peerRevision < this.context.fleet.revision
    ) {
      await this.send(address, peerRevision);
    }
  }

  private async send(
    address: string,
    assumedRevision: number | undefined,
  ): Promise<number | undefined> {
    const { fleet, clients } = this.context;
    const delta = assumedRevision === undefined
      ? undefined
      : fleet.deltaSince(assumedRevision);
    const request = create(ExchangeRequestSchema, {
      session: this.context.sessionId(),
      revision: BigInt(fleet.revision),
      ...(delta === undefined ? {} : { delta: toWireDelta(delta) }),
    });
    const response = await clients.call(address, {
      step: "record_spreader.exchange",
      send: (client, options) => client.exchange(request, options),
    });
    if (response.isErr()) {
      this.context.logger.log("peer_unreachable", { cause: response.error });
      this.peerRevisions.delete(address);
      return undefined;
    }
    if (response.value.delta !== undefined) {
      fleet.merge(fromWireDelta(response.value.delta));
    }
    const peerRevision = Number(response.value.revision);
    this.peerRevisions.set(address, peerRevision);
    return peerRevision;
  }
}
