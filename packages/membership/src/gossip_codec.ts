/**
 * Encodes gossip for datagrams.
 *
 * Bytes between availability zones are paid for, so reports travel as lists of values in the order of
 * the schema's fields and not with their names: about 90 bytes for each report in place of 290.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { decode, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import {
  decodeDigests,
  encodeDigests,
  type HeartbeatDigest,
} from "./heartbeat_digest.ts";
import { MemberReport } from "./member.ts";
import { readReportRow } from "./report_row.ts";

/** Grows when the meaning of the fields changes; others are refused. */
const FORMAT = 2;
const MESSAGE_FIELDS = 4;
const FIELDS = Object.keys(MemberReport.shape) as (keyof MemberReport)[];

/** Format, sender, rows of reports and packed beats. */
type Message = readonly [
  typeof FORMAT,
  string,
  readonly (readonly unknown[])[],
  Uint8Array,
];

/** Whether a value is a message. A schema says the same at several times the processor time, for each datagram. */
function isMessage(value: unknown): value is Message {
  if (!Array.isArray(value) || value.length !== MESSAGE_FIELDS) {
    return false;
  }
  const [format, sender, rows, digests] = value as unknown[];
  return format === FORMAT && typeof sender === "string" && sender !== "" &&
    Array.isArray(rows) && rows.every(Array.isArray) &&
    digests instanceof Uint8Array;
}

/** One datagram of gossip. */
export interface GossipMessage {
  /** Address of the daemon that sent it. */
  readonly sender: string;
  readonly reports: readonly MemberReport[];
  /** How far the beats of all living daemons have come, as the sender knows it. */
  readonly digests: readonly HeartbeatDigest[];
}

/** What came with a datagram. */
export interface DecodedGossip extends GossipMessage {
  /** How many reports don't say of whom they are, or when they were made. */
  readonly skippedReports: number;
}

/** Encodes a datagram. */
export function encodeGossip(message: GossipMessage): Uint8Array {
  const rows = message.reports.map((report) =>
    FIELDS.map((field) => report[field])
  );
  const digests = encodeDigests(message.digests);
  return encode([FORMAT, message.sender, rows, digests], {
    forceFloat32: true,
  });
}

/** Which report a row holds, as far as one needs to know whether it is news. */
export type ReportVersion = Pick<
  MemberReport,
  "address" | "incarnation" | "sequence"
>;

/**
 * Decodes a datagram; anybody can send one, so nothing in it is taken on trust.
 *
 * @param isUpdate tells reports that are still worth checking. Most of a datagram tells what others have told
 *   before, and checking it all took an eighth of the processor time of a daemon at rest.
 */
export function decodeGossip(
  bytes: Uint8Array,
  isUpdate: (name: ReportVersion) => boolean = () => true,
): Result<DecodedGossip, BamboolinkError> {
  const value = tryDecode(bytes);
  if (!isMessage(value)) {
    return err(invalid("it has another form"));
  }
  const [, sender, rows, packed] = value;
  const digests = decodeDigests(packed);
  if (digests === undefined) {
    return err(invalid("digests of beats are cut short"));
  }
  const named = rows.filter(isNamed);
  const news = named.filter((row) => isUpdate(nameOf(row)));
  const reports = news.flatMap((row) => readReportRow(row) ?? []);
  if (reports.length < news.length) {
    return err(invalid("a report has other fields"));
  }
  return ok({
    sender,
    reports,
    digests,
    skippedReports: rows.length - named.length,
  });
}

/**
 * Whether a row says of whom it is, and when it was made. One that does not compares as no news, and would be left out
 * without a word: nobody would notice that a daemon sends what others can't read.
 */
function isNamed(row: readonly unknown[]): boolean {
  const [address, incarnation, sequence] = row;
  return typeof address === "string" && Number.isInteger(incarnation) &&
    Number.isInteger(sequence);
}

function nameOf(row: readonly unknown[]): ReportVersion {
  const [address, incarnation, sequence] = row;
  return {
    address: String(address),
    incarnation: Number(incarnation),
    sequence: Number(sequence),
  };
}

function tryDecode(bytes: Uint8Array): unknown {
  try {
    return decode(bytes);
  } catch {
    // The schema refuses `undefined`, and the error then says what was expected.
    return undefined;
  }
}

function invalid(reason: string): BamboolinkError {
  return BamboolinkError.create("invalid", `gossip can't be read: ${reason}`, {
    step: "gossip.decode",
  });
}
