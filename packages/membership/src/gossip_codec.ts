/**
 * Encodes gossip as datagrams.
 *
 * Traffic between availability zones is charged by the byte, so a report is sent as a list of values in the order
 * of the schema's fields, without field names: about 90 bytes instead of 290.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { Decoder, Encoder } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import {
  decodeDigests,
  encodeDigests,
  type HeartbeatDigest,
} from "./heartbeat_digest.ts";
import { MemberReport } from "./member.ts";
import { decodeReportRow } from "./report_row.ts";

/** Increased when the meaning of the fields changes; messages with another version are rejected. */
const FORMAT_VERSION = 2;
const MESSAGE_LENGTH = 4;
const REPORT_FIELDS = Object.keys(MemberReport.shape) as (keyof MemberReport)[];

/** Reused, since the functions of the library create one, with its buffers, for each datagram. */
const ENCODER = new Encoder({ forceFloat32: true });
const DECODER = new Decoder();

/** Format version, sender, rows of reports and encoded digests. */
type Message = readonly [
  typeof FORMAT_VERSION,
  string,
  readonly (readonly unknown[])[],
  Uint8Array,
];

/** Whether a value is a message. A schema would check the same at several times the CPU time, for each datagram. */
function isMessage(value: unknown): value is Message {
  if (!Array.isArray(value) || value.length !== MESSAGE_LENGTH) {
    return false;
  }
  const [version, sender, rows, digests] = value as unknown[];
  return version === FORMAT_VERSION && typeof sender === "string" &&
    sender !== "" &&
    Array.isArray(rows) && rows.every(Array.isArray) &&
    digests instanceof Uint8Array;
}

/** One datagram of gossip. */
export interface GossipMessage {
  /** Address of the sending daemon. */
  readonly sender: string;
  readonly reports: readonly MemberReport[];
  /** Digests with the latest sequence numbers of the sender and of other daemons, as known to the sender. */
  readonly digests: readonly HeartbeatDigest[];
}

/** The content of a received datagram. */
export interface DecodedGossip extends GossipMessage {
  /** Number of rows that were skipped because they lack a valid address, incarnation or sequence number. */
  readonly skippedReports: number;
}

/** Encodes a datagram. */
export function encodeGossip(message: GossipMessage): Uint8Array {
  const rows = message.reports.map((report) =>
    REPORT_FIELDS.map((field) => report[field])
  );
  const digests = encodeDigests(message.digests);
  return ENCODER.encode([FORMAT_VERSION, message.sender, rows, digests]);
}

/** Identifies a report, and determines whether it is newer than another one of the same daemon. */
export type ReportVersion = Pick<
  MemberReport,
  "address" | "incarnation" | "sequence"
>;

/**
 * Decodes a datagram. Anybody can send one, so its entire content is validated.
 *
 * @param isUpdate whether a report is newer than what is known; others are dropped without validation. Most reports
 *   of a datagram have arrived before, and validating all of them takes 1/8 of the CPU time of an idle daemon.
 * @returns the content, with only those reports for which `isUpdate` holds; `invalid` if a part can't be decoded.
 */
export function decodeGossip(
  bytes: Uint8Array,
  isUpdate: (version: ReportVersion) => boolean = () => true,
): Result<DecodedGossip, BamboolinkError> {
  const value = tryDecode(bytes);
  if (!isMessage(value)) {
    return err(invalid("not a message of the supported version"));
  }
  const [, sender, rows, encodedDigests] = value;
  const digests = decodeDigests(encodedDigests);
  if (digests === undefined) {
    return err(invalid("the digests are truncated"));
  }
  const identified = rows.filter(hasVersion);
  const updates = identified.filter((row) => isUpdate(versionOf(row)));
  const reports = updates.flatMap((row) => decodeReportRow(row) ?? []);
  if (reports.length < updates.length) {
    return err(invalid("a report has invalid fields"));
  }
  return ok({
    sender,
    reports,
    digests,
    skippedReports: rows.length - identified.length,
  });
}

/**
 * Whether a row has a valid address, incarnation and sequence number. One without them never compares as newer and
 * would be dropped without a log entry, although its sender's reports can't be read by others.
 */
function hasVersion(row: readonly unknown[]): boolean {
  const [address, incarnation, sequence] = row;
  return typeof address === "string" && Number.isInteger(incarnation) &&
    Number.isInteger(sequence);
}

function versionOf(row: readonly unknown[]): ReportVersion {
  const [address, incarnation, sequence] = row;
  return {
    address: String(address),
    incarnation: Number(incarnation),
    sequence: Number(sequence),
  };
}

function tryDecode(bytes: Uint8Array): unknown {
  try {
    return DECODER.decode(bytes);
  } catch {
    // Callers reject `undefined` like any other value that is not a message.
    return undefined;
  }
}

function invalid(reason: string): BamboolinkError {
  return BamboolinkError.create(
    "invalid",
    `gossip can't be decoded: ${reason}`,
    {
      step: "gossip.decode",
    },
  );
}
