/**
 * The client of the platform's key-value service.
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
} from "./store.ts";
export { EtcdStore, type EtcdStoreOptions } from "./etcd_store.ts";
export { CallBudget } from "./call_budget.ts";
export { OutageGate } from "./outage_gate.ts";
export { writeSettled } from "./write_settled.ts";
