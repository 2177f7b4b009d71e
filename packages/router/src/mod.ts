/**
 * The router that runs on the host of one backend server. It accesses settings, store, configuration, callers and
 * backend servers through ports, and does not depend on a platform.
 *
 * @module
 */
export { Router, type RouterPorts } from "./router.ts";
export { RouterSettings, SettingsSource } from "./ports/router_settings.ts";
export {
  CallerProtocol,
  type CallerRequest,
  type RouterOutcome,
  type RouterResponse,
} from "./ports/caller_protocol.ts";
export {
  type BackendDeparture,
  type BackendHeartbeat,
  type BackendNotification,
  BackendProtocol,
  type BackendStatus,
  type DispatchDetails,
  type RateLimitHeader,
  type ResponseVerdict,
  type ServerLoadHeader,
} from "./ports/backend_protocol.ts";
export {
  probeConnection,
  type ProbeSettings,
} from "./backend/connection_probes.ts";
export { ConfigurationDocument } from "./ports/configuration_document.ts";
export type { Incarnation } from "@bamboolink/keyspace";
