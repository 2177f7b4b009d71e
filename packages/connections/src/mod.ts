/**
 * Closes the connections of an HTTP server without truncating responses.
 *
 * @module
 */
export {
  type ConnectionListeners,
  ServerConnections,
  type UnreadableInput,
} from "./server_connections.ts";
