/**
 * A small stand-in for the platform's key-value service: the part of etcd's JSON interface that package
 * `store` uses, with in-memory storage, fault injection and call counts. For tests, the quickstart and
 * measurements only.
 *
 * @module
 */
export { StoreStandin } from "./store_standin.ts";
export { MemoryKeyValueStore } from "./memory_key_value_store.ts";
export { Faults } from "./faults.ts";
