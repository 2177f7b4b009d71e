/**
 * Spreads records between daemons: at once to a few neighbours when something is new, and by comparing
 * revisions with one of them now and then, for whatever was missed.
 *
 * The cost for one daemon does not depend on the size of the fleet.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import {
  ExchangeRequestSchema,
  fromWireDelta,
  toWireDelta,
} from "@bamboolink/protocol";
import { Background } from "./background.ts";
import type { Fleet } from "./fleet.ts";
import type { Logger } from "@bamboolink/logger";
import type { PeerClients } from "./peer_clients.ts";
import type { Randomness } from "./randomness.ts";

/** How many neighbours hear of news from one daemon. */
export const NEIGHBOUR_COUNT = 6;
/** How often revisions are compared with a neighbour, in milliseconds. */
const COMPARE_EVERY_MS = 1_000;

/** Spreads the records of one daemon. */
export class RecordGossiper {
  private readonly comparing: Background;
  /** How far each neighbour's copy is known to be complete. */
  private readonly peerRevisions = new Map<string, number>();
  private readonly pushing = new Set<string>();
  private nextCompareMs = 0;

  private constructor(
    private readonly context: {
      fleet: Fleet;
      clients: PeerClients;
      logger: Logger;
      randomness: Randomness;
      /** Control addresses of the neighbours. */
      neighbours: () => readonly string[];
      /** Identity of the own session, for logs of the peer. */
      sessionId: () => string;
    },
  ) {
    this.comparing = Background.create(
      context.logger,
      "record_spreader.compare",
    );
  }

  /** Creates a spreader. */
  static create(context: RecordGossiper["context"]): RecordGossiper {
    return new RecordGossiper(context);
  }

  /** One step of the control loop. */
  tick(nowMs: number): void {
    if (nowMs < this.nextCompareMs) {
      return;
    }
    this.nextCompareMs = nowMs +
      COMPARE_EVERY_MS * (0.75 + this.context.randomness.next() / 2);
    const neighbours = this.context.neighbours();
    const chosen = neighbours[
      Math.floor(this.context.randomness.next() * neighbours.length)
    ];
    if (chosen !== undefined) {
      this.comparing.start(() => this.exchange(chosen));
    }
  }

  /** Tells the neighbours of news. */
  push(): void {
    this.context.neighbours()
      .filter((address) =>
        (this.peerRevisions.get(address) ?? 0) < this.context.fleet.revision
      )
      .filter((address) => !this.pushing.has(address))
      .forEach((address) => {
        this.pushing.add(address);
        void this.exchange(address).finally(() => this.pushing.delete(address));
      });
  }

  /** Notes how far a neighbour is, from a message of its own. */
  recordPeerRevision(address: string, revision: number): void {
    this.peerRevisions.set(
      address,
      Math.max(revision, this.peerRevisions.get(address) ?? 0),
    );
  }

  /** Brings both copies to the same revision: one message if the guess of the peer's was right. */
  private async exchange(address: string): Promise<void> {
    const theirs = await this.send(address, this.peerRevisions.get(address));
    if (theirs !== undefined && theirs < this.context.fleet.revision) {
      await this.send(address, theirs);
    }
  }

  private async send(
    address: string,
    theirRevision: number | undefined,
  ): Promise<number | undefined> {
    const { fleet, clients } = this.context;
    const delta = theirRevision === undefined
      ? undefined
      : fleet.deltaSince(theirRevision);
    const request = create(ExchangeRequestSchema, {
      session: this.context.sessionId(),
      revision: BigInt(fleet.revision),
      ...(delta === undefined ? {} : { delta: toWireDelta(delta) }),
    });
    const answer = await clients.call(address, {
      step: "record_spreader.exchange",
      send: (client, options) => client.exchange(request, options),
    });
    if (answer.isErr()) {
      this.context.logger.log("peer_unreachable", { cause: answer.error });
      this.peerRevisions.delete(address);
      return undefined;
    }
    if (answer.value.delta !== undefined) {
      fleet.merge(fromWireDelta(answer.value.delta));
    }
    const theirs = Number(answer.value.revision);
    this.peerRevisions.set(address, theirs);
    return theirs;
  }
}
