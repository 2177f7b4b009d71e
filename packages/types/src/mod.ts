/**
 * The shapes that cross a boundary: configuration document, sessions, ownership table, announcements
 * and headers. Each shape is a schema; its TypeScript type is inferred from it.
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
