/**
 * Ends the connections of an HTTP server without cutting answers.
 *
 * @module
 */
export {
  type ConnectionListeners,
  ServerConnections,
  type UnreadableInput,
} from "./server_connections.ts";
