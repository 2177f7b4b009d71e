/**
 * A small stand-in for the platform's key-value service: etcd's published JSON interface over memory,
 * with faults on demand and a count of calls. For tests, the quickstart and measurements only.
 *
 * @module
 */
export { StoreStandin } from "./store_standin.ts";
export { KeyValueMemory } from "./key_value_memory.ts";
export { Faults } from "./faults.ts";
