/**
 * Maps keys to partitions.
 *
 * @module
 */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** Hashes text to an unsigned 32-bit number. The result is the same on every host and in every version. */
export function hashKey(text: string): number {
  return hasher.h32(text);
}

/** Returns the partition of a key, from 0 to `partitions - 1`. */
export function partitionOf(key: string, partitions: number): number {
  return hashKey(key) % partitions;
}
