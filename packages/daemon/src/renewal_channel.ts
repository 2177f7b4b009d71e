/**
 * A long-lived stream of renewals from one session to one of its witnesses.
 *
 * A call for each renewal costs about seven times the processor time of a message on an open stream
 * (`npm run bench -- hop`), and renewals are most of what daemons say to each other.
 *
 * @module
 */
import { PassThrough } from "node:stream";
import { create } from "@bufbuild/protobuf";
import {
  type RenewRequest,
  RenewRequestSchema,
  type RenewResponse_Answer,
} from "@bamboolink/protocol";
import { monotonicMs } from "./clock.ts";
import type { PeerClient } from "./peer_clients.ts";

/** With so many renewals unanswered the stream is taken for dead and opened anew. */
const MAXIMUM_UNANSWERED = 4;

/** What a channel needs. */
export interface RenewalChannelContext {
  readonly session: string;
  readonly witness: string;
  /** The client of the witness's daemon; asked again for each new stream. */
  readonly client: () => PeerClient | undefined;
  /** Called with each answer and the clock from before its renewal was sent. */
  readonly onResponse: (answer: RenewResponse_Answer, sentAtMs: number) => void;
}

/** Renewals to one witness. */
export class RenewalChannel {
  private readonly sentAtMs = new Map<bigint, number>();
  private outgoing: PassThrough | undefined;
  private abort: AbortController | undefined;
  private number = 0n;

  private constructor(private readonly context: RenewalChannelContext) {}

  /** Creates a channel without a stream; the first renewal opens it. */
  static create(context: RenewalChannelContext): RenewalChannel {
    return new RenewalChannel(context);
  }

  /** Sends one renewal. */
  renew(): void {
    if (this.sentAtMs.size >= MAXIMUM_UNANSWERED) {
      this.close();
    }
    const outgoing = this.outgoing ?? this.open();
    if (outgoing === undefined) {
      return;
    }
    this.number += 1n;
    this.sentAtMs.set(this.number, monotonicMs());
    const { session, witness } = this.context;
    const { number } = this;
    outgoing.write(create(RenewRequestSchema, { session, witness, number }));
  }

  /** Ends the stream; a later renewal opens a new one. */
  close(): void {
    this.abort?.abort();
    this.outgoing?.destroy();
    this.outgoing = undefined;
    this.abort = undefined;
    this.sentAtMs.clear();
  }

  private open(): PassThrough | undefined {
    const client = this.context.client();
    if (client === undefined) {
      return undefined;
    }
    const outgoing = new PassThrough({ objectMode: true });
    const abort = new AbortController();
    outgoing.on("error", () => undefined);
    this.outgoing = outgoing;
    this.abort = abort;
    void this.read(client, { outgoing, abort });
    return outgoing;
  }

  private async read(
    client: PeerClient,
    stream: { outgoing: PassThrough; abort: AbortController },
  ): Promise<void> {
    try {
      const requests = stream.outgoing as AsyncIterable<RenewRequest>;
      const { signal } = stream.abort;
      for await (
        const { answer, number } of client.renew(requests, { signal })
      ) {
        this.takeAnswer(answer, number);
      }
    } catch {
      // The next renewal opens a new stream; a witness that stays silent is noticed by its silence.
    }
    if (this.outgoing === stream.outgoing) {
      this.close();
    }
  }

  /** Answers belong to renewals by number: a late one must not count from a later sending. */
  private takeAnswer(answer: RenewResponse_Answer, number: bigint): void {
    const sentAtMs = this.sentAtMs.get(number);
    if (sentAtMs !== undefined) {
      this.sentAtMs.delete(number);
      this.context.onResponse(answer, sentAtMs);
    }
  }
}
