/**
 * Idempotency keys are UUIDs of version 7 (RFC 9562), which begin with the time of their making. That
 * tells an owner when a request was first sent, without any memory of it.
 *
 * @module
 */

const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Reads when a request was first sent, in milliseconds since 1970.
 *
 * @returns `undefined` where the key is not a UUID of version 7.
 */
export function readFirstSentMs(idempotencyKey: string): number | undefined {
  const match = UUID_V7.exec(idempotencyKey);
  return match === null
    ? undefined
    : Number.parseInt(`${match[1]}${match[2]}`, 16);
}
