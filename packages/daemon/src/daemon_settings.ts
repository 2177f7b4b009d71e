/**
 * Settings of the daemon.
 *
 * @module
 */
import { z } from "zod";

const port = z.coerce.number({ error: "expected a port number" }).int().min(0)
  .max(65_535);
const name = z.string({ error: "expected a name" }).regex(
  /^[a-z0-9][a-z0-9.-]{0,62}$/,
  "expected a name of lower-case letters, digits, dots and dashes",
);
const milliseconds = z.coerce.number({ error: "expected milliseconds" }).int()
  .min(1).max(600_000);

/** Schema of the daemon's settings. */
export const DaemonSettings = z.strictObject({
  host: name.describe("Name of this host, unique in the fleet."),
  region: name.describe("Region of this host."),
  availability_zone: name.describe(
    "Availability zone of this host, by its name in the configuration.",
  ),
  address: z.string({ error: "expected an IP address" }).min(1).describe(
    "IP address at which callers and other daemons reach this host.",
  ),
  data_port: port.default(7080).describe(
    "Port for callers and forwarding daemons.",
  ),
  control_port: port.default(7081).describe(
    "Port for other daemons' control messages.",
  ),
  admin_port: port.default(7082).describe(
    "Port on loopback for the backend server's announcements, metrics and health.",
  ),
  store: z.url({ error: "expected a URL such as http://127.0.0.1:2379" })
    .describe("URL of the platform's key-value service."),
  store_timeout_ms: milliseconds.default(1_000).describe(
    "Timeout of one call to the store, in milliseconds.",
  ),
  store_calls_per_second: z.coerce.number().min(1).max(1_000).default(50)
    .describe(
      "Maximum average rate of this process's calls to the store, in calls per second.",
    ),
  store_call_burst: z.coerce.number().min(1).max(10_000).default(600).describe(
    "Maximum number of store calls in a burst, for example during a takeover.",
  ),
  seeds: z.string().default("").describe(
    "Control addresses of other daemons, separated by commas, used to start while the store is down.",
  ),
  drain_ms: milliseconds.default(30_000).describe(
    "How long a stopping daemon waits for its keys to move and its requests to finish, in milliseconds.",
  ),
  maximum_body_bytes: z.coerce.number().int().min(0).max(1_073_741_824).default(
    16_777_216,
  ).describe("Maximum size of a request body, in bytes."),
  maximum_waiting: z.coerce.number().int().min(0).max(1_000_000).default(2_000)
    .describe(
      "Maximum number of requests that wait at this daemon until their key has an owner.",
    ),
  log_format: z.enum(["human", "json"], { error: "expected human or json" })
    .default("human").describe("Format of log lines."),
  log_level: z.enum(["error", "warn", "info", "debug"], {
    error: "expected error, warn, info or debug",
  }).default("info").describe("Minimum severity of log lines."),
});
/** The daemon's settings. */
export type DaemonSettings = z.infer<typeof DaemonSettings>;
