/**
 * Reads the creation time of idempotency keys. They are UUIDs of version 7 (RFC 9562), which begin with a timestamp, so
 * an owner learns from the key alone when a request was first sent.
 *
 * @module
 */

const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Returns when a request was first sent, in milliseconds since the Unix epoch.
 *
 * @returns `undefined` where the key is not a UUID of version 7.
 */
export function readFirstSentMs(idempotencyKey: string): number | undefined {
  const match = UUID_V7.exec(idempotencyKey);
  return match === null
    ? undefined
    : Number.parseInt(`${match[1]}${match[2]}`, 16);
}
