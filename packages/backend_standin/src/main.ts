#!/usr/bin/env node
/**
 * Command `bamboolink-backend-standin`: runs a stand-in for a backend server until SIGTERM or SIGINT.
 *
 * @module
 */
import { Logger } from "@bamboolink/logger";
import { readSettingsOrExit } from "@bamboolink/settings";
import { z } from "zod";
import { BackendStandin } from "./backend_standin.ts";

const Settings = z.strictObject({
  host: z.string().min(1).describe("Name of the host, returned in responses."),
  service: z.string().min(1).describe("Service that the stand-in belongs to."),
  daemon: z.string().min(1).describe(
    "Admin address of the daemon on this host.",
  ),
  backend_port: z.coerce.number().int().min(0).max(65_535).default(0).describe(
    "Port on loopback; 0 lets the system choose.",
  ),
  slots: z.coerce.number().int().min(1).default(6).describe(
    "Announced number of requests that run at once.",
  ),
  connections: z.coerce.number().int().min(1).default(130).describe(
    "Announced maximum number of connections.",
  ),
  checks_fencing: z.enum(["true", "false"]).default("true").describe(
    "Whether requests with a stale fencing token or an expired grant are refused.",
  ),
  service_ms: z.coerce.number().min(0).default(2).describe(
    "Processing time of a request in milliseconds.",
  ),
});

const settings = readSettingsOrExit(Settings, {
  name: "bamboolink-backend-standin",
  purpose: "a stand-in for a backend server",
});
const logger = Logger.create(`backend-standin ${settings.host}`, {
  format: "human",
  level: "info",
});
const standin = BackendStandin.create({
  host: settings.host,
  service: settings.service,
  daemon: settings.daemon,
  slots: settings.slots,
  connections: settings.connections,
  checksFencing: settings.checks_fencing === "true",
  serviceMs: settings.service_ms,
});
const port = await standin.listen(settings.backend_port);
logger.log("process_started", { address: `127.0.0.1:${port}` });
["SIGTERM", "SIGINT"].forEach((signal) =>
  process.on(signal, () => {
    void standin.close().then(() => process.exit(0));
  })
);
