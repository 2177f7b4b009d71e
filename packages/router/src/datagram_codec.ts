/**
 * The datagrams that daemons send each other beside gossip.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { decode, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

/** A newer record of ownership; without its text it is to be asked for. */
const OwnershipNews = z.object({
  kind: z.literal("ownership"),
  sender: z.string(),
  service: z.string(),
  revision: z.int(),
  text: z.string().optional(),
});

/** First key, last key, and the work they bring, in milliseconds of a slot a second. */
const ExpectedRange = z.tuple([
  z.int().min(0),
  z.int().min(0),
  z.number().min(0),
]);

/** Keys are about to be handed over to the receiver's backend server. */
const HandoverExpected = z.object({
  kind: z.literal("expect"),
  sender: z.string(),
  ranges: z.array(ExpectedRange),
});

/** The receiver of such a word holds back the answer to a heartbeat, so that it can grant at once. */
const HandoverAwaited = z.object({
  kind: z.literal("awaiting"),
  sender: z.string(),
});

/** An owner asks an arbiter not to take it over for a while. */
const PromiseQuestion = z.object({
  kind: z.literal("ask_promise"),
  sender: z.string(),
  service: z.string(),
  /** The owner's clock, in milliseconds; comes back with the promise. */
  askedAtMs: z.number(),
  /** Revision of the record by which the owner last confirmed its tenure. */
  confirmedRevision: z.int(),
});

/** The arbiter promises. */
const TenurePromise = z.object({
  kind: z.literal("promise"),
  sender: z.string(),
  service: z.string(),
  askedAtMs: z.number(),
});

/** The receiver has told of daemons that the sender has heard no report of. */
const ReportQuestion = z.object({
  kind: z.literal("ask_reports"),
  sender: z.string(),
  /** Hashes of their addresses. */
  names: z.array(z.int().min(0)),
});

/** An owner asks the daemon that reads for all what the store holds. */
const SharedReadQuestion = z.object({
  kind: z.literal("ask_read"),
  sender: z.string(),
  service: z.string(),
  /** The owner's clock, in milliseconds; comes back with the answer. */
  askedAtMs: z.number(),
});

/** What the store held after the question had arrived. */
const SharedReadAnswer = z.object({
  kind: z.literal("read"),
  sender: z.string(),
  service: z.string(),
  askedAtMs: z.number(),
  revision: z.int().min(0),
});

/** Names a request by what it asks. */
const Fingerprint = z.string().min(1).max(64);

/** Servers ended under these requests. */
const CrashReports = z.object({
  kind: z.literal("crash_reports"),
  sender: z.string(),
  /** Each with the names of the ends, the number of quarantines, and what is left of the last, in milliseconds. */
  suspected: z.array(
    z.tuple([
      Fingerprint,
      z.array(z.int().min(0)).min(1).max(64),
      z.int().min(0).max(64),
      z.int().min(0),
    ]),
  ),
});

/** These requests were answered: no server ends under them. */
const RequestsCleared = z.object({
  kind: z.literal("cleared"),
  sender: z.string(),
  fingerprints: z.array(Fingerprint),
});

/** These availability zones are evacuated, as of a revision of the store. */
const ZonesEvacuated = z.object({
  kind: z.literal("evacuation"),
  sender: z.string(),
  revision: z.int().min(0),
  zones: z.array(z.string()).max(256),
});

/** The sender has not learned yet which zones are evacuated. */
const EvacuationQuestion = z.object({
  kind: z.literal("ask_evacuation"),
  sender: z.string(),
});

const Datagram = z.discriminatedUnion("kind", [
  ZonesEvacuated,
  EvacuationQuestion,
  CrashReports,
  RequestsCleared,
  SharedReadQuestion,
  SharedReadAnswer,
  ReportQuestion,
  OwnershipNews,
  HandoverExpected,
  HandoverAwaited,
  PromiseQuestion,
  TenurePromise,
]);
/** A datagram beside gossip. */
export type Datagram = z.infer<typeof Datagram>;

/** Gossip begins with the byte of a list, these with the byte of a map. */
const LARGEST_LIST_BYTE = 0x9f;
const SMALLEST_LIST_BYTE = 0x90;

/** Whether a datagram is gossip. */
export function isGossip(bytes: Uint8Array): boolean {
  const first = bytes[0] ?? 0;
  return first >= SMALLEST_LIST_BYTE && first <= LARGEST_LIST_BYTE;
}

/** Encodes a datagram. */
export function encodeDatagram(datagram: Datagram): Uint8Array {
  return encode(datagram, { ignoreUndefined: true });
}

/** Decodes a datagram; anybody can send one, so nothing in it is taken on trust. */
export function decodeDatagram(
  bytes: Uint8Array,
): Result<Datagram, BamboolinkError> {
  const checked = Datagram.safeParse(tryDecode(bytes));
  return checked.success ? ok(checked.data) : err(
    BamboolinkError.create("invalid", "a datagram can't be read", {
      step: "datagram.decode",
      cause: checked.error,
    }),
  );
}

function tryDecode(bytes: Uint8Array): unknown {
  try {
    return decode(bytes);
  } catch {
    // The schema refuses `undefined`, and the error then says what was expected.
    return undefined;
  }
}
