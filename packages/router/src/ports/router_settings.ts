/**
 * The port for the router's settings, independent of where they are stored.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import { DEFAULT_CROSS_ZONE_MS_PER_KILOBYTE } from "@bamboolink/placement";
import type { Result } from "neverthrow";
import { z } from "zod";

const address = z.string().regex(/^[^:\s]+:\d+$/, "expected HOST:PORT");

/** Schema of the settings of one router; all addresses are `HOST:PORT`. */
export const RouterSettings = z.object({
  /** Name of the host, for logs. */
  host: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** The service of the backend server on this host; it also identifies the callers on this host. */
  service: z.string(),
  /** Address at which the backend server on this host accepts requests. */
  backendAddress: address,
  /** Address at which the router accepts requests of callers on this host, including the backend server. */
  callerAddress: address,
  /** Address at which the router receives heartbeats of the backend server on this host. */
  heartbeatAddress: address,
  /** Address of the readiness check. */
  readinessAddress: address,
  /** Address at which the router serves the configuration, ownership records and store calls to other daemons. */
  peerAddress: address,
  /** Address at which the router receives gossip over UDP and links for requests over TCP from other daemons. */
  gossipAddress: address,
  /** Address of the metrics; none are served if it is absent. */
  metricsAddress: address.optional(),
  storeAddress: address,
  /** Capacity of the host's network link, in bytes per second; unknown if absent. */
  linkBytesPerSecond: z.number().positive().optional(),
  /** Memory limit of the process, in bytes; unknown if absent. */
  memoryBytes: z.number().positive().optional(),
  /** Typical interval between heartbeats of the backend server, in milliseconds. */
  heartbeatMs: z.number().positive(),
  /**
   * Milliseconds of waiting that saving one kilobyte between availability zones is worth; 0 if these bytes cost nothing.
   */
  crossZoneMsPerKilobyte: z.number().min(0).max(100)
    .default(DEFAULT_CROSS_ZONE_MS_PER_KILOBYTE),
  bounds: z.object({
    /** From the acknowledgement that a backend server drains until it may receive no more requests, in milliseconds. */
    drainMs: z.number().positive(),
    /** From the request to stop until the process is killed, in milliseconds. */
    graceMs: z.number().positive(),
    /** Retries per request, over the whole fleet. */
    resendRatio: z.number().min(0),
    /** Retries beyond the ratio in one window, over the whole fleet. */
    resendExtra: z.number().min(0),
    /** Length of the retry budget's window, in milliseconds. */
    resendWindowMs: z.number().positive(),
    /**
     * From the acknowledgement that a zone is evacuated until its backend servers may receive no more requests, in
     * milliseconds.
     */
    evacuateMs: z.number().positive(),
    /**
     * Maximum rate of requests to a cold backend server, as a multiple of the rate that it can handle while cold.
     */
    coldRatio: z.number().min(0),
    /** Requests per second that a cold backend server may receive beyond the ratio. */
    coldExtra: z.number().min(0),
  }),
});
/** The settings of one router. */
export type RouterSettings = z.infer<typeof RouterSettings>;

/** Provides the settings. */
export abstract class SettingsSource {
  /** Reads the current settings; returns an error if they can't be read or are invalid. */
  abstract read(): Result<RouterSettings, BamboolinkError>;

  /** Returns a text that changes whenever the settings may have changed. It is cheap enough to call every second. */
  abstract readVersion(): string;
}
