/**
 * Ends the connections of an HTTP server without cutting answers.
 *
 * @module
 */
export { ServerConnections } from "./server_connections.ts";
