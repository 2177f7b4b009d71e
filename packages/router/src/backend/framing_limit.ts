/**
 * Bounds the bytes of a response that are no part of its body, against servers that send them without end: interim
 * responses, empty lines, headers, sizes and extensions of chunks, and trailers.
 *
 * @module
 */

/** Framing that is allowed for any response, in bytes: four times the largest head that is accepted. */
const BASE_BYTES = 65_536;
/** Further framing that is allowed for each byte of the body: chunks of 48 bytes and more have less. */
const BYTES_PER_BODY_BYTE = 1 / 8;

/**
 * Whether a response has more framing than a sound server sends.
 *
 * @param received bytes that were received for the response, and how many of them are part of its body.
 */
export function exceedsFramingLimit(
  received: { totalBytes: number; bodyBytes: number },
): boolean {
  const { totalBytes, bodyBytes } = received;
  return totalBytes - bodyBytes >
    BASE_BYTES + bodyBytes * BYTES_PER_BODY_BYTE;
}
