/**
 * A long-lived stream of promise renewals from one session to one of its witnesses.
 *
 * A separate call for each renewal takes about seven times the processor time of a message on an open stream
 * (`npm run bench -- hop`), and renewals are most of the messages between daemons.
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

/** Number of renewals without a response at which the stream is assumed broken and reopened. */
const MAX_UNANSWERED_RENEWALS = 4;

/** Dependencies of a channel. */
export interface RenewalChannelContext {
  readonly session: string;
  readonly witness: string;
  /** The client of the witness's daemon, `undefined` if its address is unknown; called for each new stream. */
  readonly client: () => PeerClient | undefined;
  /**
   * Called with each response and the time just before its renewal was sent, in milliseconds on the monotonic
   * clock.
   */
  readonly onResponse: (answer: RenewResponse_Answer, sentAtMs: number) => void;
}

/** Sends renewals to one witness. */
export class RenewalChannel {
  private readonly sentAtMsByNumber = new Map<bigint, number>();
  private requestStream: PassThrough | undefined;
  private abortController: AbortController | undefined;
  private lastNumber = 0n;

  private constructor(private readonly context: RenewalChannelContext) {}

  /** Creates a channel without a stream; the first renewal opens it. */
  static create(context: RenewalChannelContext): RenewalChannel {
    return new RenewalChannel(context);
  }

  /** Sends one renewal; does nothing if the witness's address is unknown. */
  renew(): void {
    if (this.sentAtMsByNumber.size >= MAX_UNANSWERED_RENEWALS) {
      this.close();
    }
    const outgoing = this.requestStream ?? this.open();
    if (outgoing === undefined) {
      return;
    }
    this.lastNumber += 1n;
    this.sentAtMsByNumber.set(this.lastNumber, monotonicMs());
    const { session, witness } = this.context;
    const { lastNumber: number } = this;
    outgoing.write(create(RenewRequestSchema, { session, witness, number }));
  }

  /** Closes the stream; the next renewal opens a new one. */
  close(): void {
    this.abortController?.abort();
    this.requestStream?.destroy();
    this.requestStream = undefined;
    this.abortController = undefined;
    this.sentAtMsByNumber.clear();
  }

  private open(): PassThrough | undefined {
    const client = this.context.client();
    if (client === undefined) {
      return undefined;
    }
    const outgoing = new PassThrough({ objectMode: true });
    const abort = new AbortController();
    outgoing.on("error", () => undefined);
    this.requestStream = outgoing;
    this.abortController = abort;
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
        this.handleResponse(answer, number);
      }
    } catch {
      // The next renewal opens a new stream; a witness that stays unresponsive is found by its missing responses.
    }
    if (this.requestStream === stream.outgoing) {
      this.close();
    }
  }

  /** Matches responses to renewals by number: a late one must not count from the send time of a later renewal. */
  private handleResponse(answer: RenewResponse_Answer, number: bigint): void {
    const sentAtMs = this.sentAtMsByNumber.get(number);
    if (sentAtMs !== undefined) {
      this.sentAtMsByNumber.delete(number);
      this.context.onResponse(answer, sentAtMs);
    }
  }
}
