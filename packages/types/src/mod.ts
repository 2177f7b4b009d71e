/**
 * Schemas of the data that processes exchange or store, and the TypeScript types inferred from them:
 * configuration documents, store records, the ownership table, announcements and headers.
 *
 * @module
 */
export * from "./configuration.ts";
export * from "./headers.ts";
export * from "./store_keys.ts";
export * from "./announcement.ts";
export * from "./session.ts";
export * from "./table.ts";
export * from "./traffic.ts";
export * from "./store_position.ts";
