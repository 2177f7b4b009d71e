/**
 * Tells in a few bytes how far the beats of many daemons have come.
 *
 * A whole report takes some 90 bytes, so a datagram holds a few of them only, and in a fleet of 59 daemons with a
 * tenth of the datagrams lost one pair in 200 was silent to each other at any moment. Digests of all daemons fit
 * into each datagram: who lives is known to all within about a second, whatever the size of the fleet.
 *
 * @module
 */
/** How far the beats of one daemon have come. */
export interface BeatDigest {
  /** A hash of the daemon's address. */
  readonly name: number;
  /** The lowest byte of its incarnation. */
  readonly incarnation: number;
  readonly beat: number;
}
/** Names a daemon by a hash of its address. */
export declare function hashAddress(address: string): number;
/** Makes the digest of a report. */
export declare function digestBeat(name: number, report: {
  incarnation: number;
  beat: number;
}): BeatDigest;
/** Packs digests. */
export declare function packBeats(digests: readonly BeatDigest[]): Uint8Array;
/** Unpacks digests; `undefined` where bytes are missing or too many. */
export declare function unpackBeats(
  packed: Uint8Array,
): BeatDigest[] | undefined;
