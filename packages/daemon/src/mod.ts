/**
 * The process beside each backend server: it accepts callers, finds the owner of each key, forwards
 * to the owner's daemon and hands requests to its own backend server.
 *
 * @module
 */
export { Daemon } from "./daemon.ts";
export { DaemonSettings } from "./daemon_settings.ts";
