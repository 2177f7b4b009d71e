/**
 * Encodes and decodes the datagrams that daemons send each other, other than gossip.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { KEY_COUNT } from "@bamboolink/keyspace";
import { decode, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

/** Announces a newer ownership record; if the text is absent, the receiver fetches it. */
const OwnershipUpdate = z.object({
  kind: z.literal("ownership"),
  sender: z.string(),
  service: z.string(),
  revision: z.int(),
  text: z.string().optional(),
});

const key = z.int().min(0).max(KEY_COUNT - 1);
/** First key, last key, and the load of the range, in milliseconds of slot time per second. */
const ExpectedRange = z.tuple([key, key, z.number().min(0)])
  .refine(([from, to]) => from <= to);

/**
 * Announces that these keys will be handed over to the receiver's backend server, instead of those announced before;
 * none if no longer any will be.
 */
const PlannedHandover = z.object({
  kind: z.literal("expect"),
  sender: z.string(),
  ranges: z.array(ExpectedRange),
});

/**
 * Sent in return by the recipient of the keys: it delays the response to a heartbeat of its backend server, so that it
 * can grant the keys as soon as they are released.
 */
const HandoverAwaited = z.object({
  kind: z.literal("awaiting"),
  sender: z.string(),
});

/** An owner requests an arbiter's promise not to take over its keys for a limited time. */
const PromiseRequest = z.object({
  kind: z.literal("ask_promise"),
  sender: z.string(),
  service: z.string(),
  /** The owner's clock, in milliseconds; the promise repeats it. */
  askedAtMs: z.number(),
  /** Revision of the record with which the owner last confirmed its ownership lease. */
  confirmedRevision: z.int(),
});

/** An arbiter's promise, in response to a request for one. */
const LeasePromise = z.object({
  kind: z.literal("promise"),
  sender: z.string(),
  service: z.string(),
  askedAtMs: z.number(),
});

/** Requests reports of daemons that the receiver's gossip contained and of which the sender has no report. */
const ReportRequest = z.object({
  kind: z.literal("ask_reports"),
  sender: z.string(),
  /** Hashes of the daemons' addresses. */
  names: z.array(z.int().min(0)),
});

/** An owner requests from the shared reader the revision of its service's record in the store. */
const SharedReadRequest = z.object({
  kind: z.literal("ask_read"),
  sender: z.string(),
  service: z.string(),
  /** The owner's clock, in milliseconds; the response repeats it. */
  askedAtMs: z.number(),
});

/** The shared reader's response: the revision that it read after the request had arrived. */
const SharedReadResponse = z.object({
  kind: z.literal("read"),
  sender: z.string(),
  service: z.string(),
  askedAtMs: z.number(),
  revision: z.int().min(0),
});

/** Requests the newest version of the configuration from the daemon that reads the store for the others. */
const ConfigurationCheckRequest = z.object({
  kind: z.literal("ask_configuration"),
  sender: z.string(),
  /** The sender's clock, in milliseconds; the response repeats it. */
  askedAtMs: z.number(),
});

/** The newest version of the configuration that the store held `ageMs` before the request arrived. */
const ConfigurationCheckResponse = z.object({
  kind: z.literal("configuration"),
  sender: z.string(),
  askedAtMs: z.number(),
  version: z.number().min(0),
  ageMs: z.number().min(0),
});

/** Announces when the sender will renew its watch of the store. */
const WatchPlan = z.object({
  kind: z.literal("watch_plan"),
  sender: z.string(),
  /** Time until the renewal, in milliseconds. */
  remainingMs: z.number().min(0).max(60_000),
  /** Age of the store's last response to the sender, in milliseconds; absent in plans of earlier versions. */
  observationAgeMs: z.number().min(0).optional(),
  /** Version of the configuration that the sender has in force; absent in plans of earlier versions. */
  configurationVersion: z.number().min(0).optional(),
});

/** Identifies a request by its content. */
const Fingerprint = z.string().min(1).max(64);

/** Reports requests during which backend servers crashed. */
const CrashReports = z.object({
  kind: z.literal("crash_reports"),
  sender: z.string(),
  /** Each with the ids of the crashes, the number of quarantines, and the remaining time of the last one, in ms. */
  suspected: z.array(
    z.tuple([
      Fingerprint,
      z.array(z.int().min(0)).min(1).max(64),
      z.int().min(0).max(64),
      z.int().min(0),
    ]),
  ),
});

/** Reports that these requests got responses and so do not crash backend servers. */
const RequestsCleared = z.object({
  kind: z.literal("cleared"),
  sender: z.string(),
  fingerprints: z.array(Fingerprint),
});

/** The evacuated availability zones as of a revision of the store. */
const ZonesEvacuated = z.object({
  kind: z.literal("evacuation"),
  sender: z.string(),
  revision: z.int().min(0),
  zones: z.array(z.string()).max(256),
});

/** Requests the evacuated availability zones, which the sender does not know yet. */
const EvacuationRequest = z.object({
  kind: z.literal("ask_evacuation"),
  sender: z.string(),
});

const Datagram = z.discriminatedUnion("kind", [
  ConfigurationCheckRequest,
  ConfigurationCheckResponse,
  WatchPlan,
  ZonesEvacuated,
  EvacuationRequest,
  CrashReports,
  RequestsCleared,
  SharedReadRequest,
  SharedReadResponse,
  ReportRequest,
  OwnershipUpdate,
  PlannedHandover,
  HandoverAwaited,
  PromiseRequest,
  LeasePromise,
]);
/** A datagram that is not gossip. */
export type Datagram = z.infer<typeof Datagram>;

/** Gossip begins with the MessagePack tag of a short array (fixarray), other datagrams with that of a map. */
const MAX_FIXARRAY_BYTE = 0x9f;
const MIN_FIXARRAY_BYTE = 0x90;

/** Whether a datagram is gossip. */
export function isGossip(bytes: Uint8Array): boolean {
  const first = bytes[0] ?? 0;
  return first >= MIN_FIXARRAY_BYTE && first <= MAX_FIXARRAY_BYTE;
}

export function encodeDatagram(datagram: Datagram): Uint8Array {
  return encode(datagram, { ignoreUndefined: true });
}

/** Decodes and validates a datagram from an untrusted sender; returns an `invalid` error if its form is wrong. */
export function decodeDatagram(
  bytes: Uint8Array,
): Result<Datagram, BamboolinkError> {
  const checked = Datagram.safeParse(decodeOrUndefined(bytes));
  return checked.success ? ok(checked.data) : err(
    BamboolinkError.create("invalid", "malformed datagram", {
      step: "datagram.decode",
      cause: checked.error,
    }),
  );
}

function decodeOrUndefined(bytes: Uint8Array): unknown {
  try {
    return decode(bytes);
  } catch {
    // The schema rejects `undefined` with an error that states what was expected.
    return undefined;
  }
}
