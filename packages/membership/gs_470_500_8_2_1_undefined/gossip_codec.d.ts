/**
 * Encodes gossip for datagrams.
 *
 * Bytes between availability zones are paid for, so reports travel as lists of values in the order of
 * the schema's fields and not with their names: about 90 bytes for each report in place of 290.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { type Result } from "neverthrow";
import { type BeatDigest } from "./beat_digest.ts";
import { MemberReport } from "./member.ts";
/** One datagram of gossip. */
export interface GossipMessage {
  /** Address of the daemon that sent it. */
  readonly sender: string;
  readonly reports: readonly MemberReport[];
  /** How far the beats of all living daemons have come, as the sender knows it. */
  readonly beats: readonly BeatDigest[];
}
/** Encodes a datagram. */
export declare function encodeGossip(message: GossipMessage): Uint8Array;
/** Which report a row holds, as far as one needs to know whether it is news. */
export type ReportName = Pick<MemberReport, "address" | "incarnation" | "beat">;
/**
 * Decodes a datagram; anybody can send one, so nothing in it is taken on trust.
 *
 * @param isNews tells reports that are still worth checking. Most of a datagram tells what others have told
 *   before, and checking it all took an eighth of the processor time of a daemon at rest.
 */
export declare function decodeGossip(
  bytes: Uint8Array,
  isNews?: (name: ReportName) => boolean,
): Result<GossipMessage, BamboolinkError>;
