/**
 * Keys of bamboolink's records in the platform's store.
 *
 * @module
 */

/** Prefix of the keys of all records. */
export const KEY_PREFIX = "/bamboolink/";
/** Key of the configuration record. */
export const CONFIGURATION_KEY = `${KEY_PREFIX}configuration`;
/** Key of the record of the elected planner, which is attached to a store lease. */
export const PLANNER_KEY = `${KEY_PREFIX}planner`;
/** Prefix of the keys of all session records. */
export const SESSION_PREFIX = `${KEY_PREFIX}sessions/`;
/** Prefix of the keys of all shards of the ownership table. */
export const TABLE_PREFIX = `${KEY_PREFIX}table/`;
/** Prefix of the keys of operators' requests to drain a host. */
export const DRAIN_PREFIX = `${KEY_PREFIX}drains/`;

/** Key of the record of one session. */
export function sessionKey(sessionId: string): string {
  return SESSION_PREFIX + sessionId;
}

/** Key of the shard of a service's ownership table whose lowest partition is `first`. */
export function tableKey(service: string, first: number): string {
  return `${TABLE_PREFIX}${service}/${first}`;
}

/** Key of the request to drain one host. */
export function drainKey(host: string): string {
  return DRAIN_PREFIX + host;
}
