/**
 * The daemon on the host of each backend server: it accepts requests of callers, finds the owner of each key, forwards
 * requests to the owner's daemon, and sends those for its own keys to its backend server.
 *
 * @module
 */
export { Daemon } from "./daemon.ts";
export { DaemonSettings } from "./daemon_settings.ts";
