/**
 * Why a backend server takes longer for a request than usual: it has just started, or it has just been granted the
 * request's key without a handover.
 *
 * @module
 */

/** What is cold when a request starts. */
export type Coldness =
  | "warm"
  | "cold_server"
  | "cold_key"
  | "cold_server_and_key";

/**
 * Factors that are assumed until requests have ended: cold servers were measured to be twice as slow, and keys without
 * a handover four times slower still.
 */
const SERVER_FACTOR = 2;
const KEY_FACTOR = 4;

/** By which factor requests are assumed to take longer than on a warm server with a warm key. */
export const ASSUMED_FACTORS: Readonly<Record<Coldness, number>> = {
  warm: 1,
  cold_server: SERVER_FACTOR,
  cold_key: KEY_FACTOR,
  cold_server_and_key: SERVER_FACTOR * KEY_FACTOR,
};

/** Returns the coldness of a server and a key. */
export function toColdness(
  cold: { isServerCold: boolean; isKeyCold: boolean },
): Coldness {
  const { isServerCold, isKeyCold } = cold;
  if (isServerCold) {
    return isKeyCold ? "cold_server_and_key" : "cold_server";
  }
  return isKeyCold ? "cold_key" : "warm";
}
