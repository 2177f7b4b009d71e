/**
 * Closes the connections of an HTTP server without truncating responses.
 *
 * @module
 */
export {
  CallerConnections,
  type ConnectionListeners,
  type MalformedInput,
} from "./caller_connections.ts";
export type { StartTimer } from "./caller_connection.ts";
