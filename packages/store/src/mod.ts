/**
 * Client of the platform's key-value service.
 *
 * @module
 */
export {
  type CasRequest,
  type Listing,
  Store,
  type StoredRecord,
  type Watch,
  type WatchHandler,
  type WatchOptions,
  type WriteGuard,
} from "./store.ts";
export { EtcdStore, type EtcdStoreOptions } from "./etcd_store.ts";
export { CallRateLimiter } from "./call_rate_limiter.ts";
export { OutageBackoff } from "./outage_backoff.ts";
export { writeAndVerify } from "./write_and_verify.ts";
