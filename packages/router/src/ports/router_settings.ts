/**
 * What a router must know to run, whoever tells it.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type { Result } from "neverthrow";
import { z } from "zod";

const address = z.string().regex(/^[^:\s]+:\d+$/, "expected HOST:PORT");

/** What a router must know to run. */
export const RouterSettings = z.object({
  /** Name of the host, for logs. */
  host: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** The service of the backend server on this host; callers on this host are told apart by it. */
  service: z.string(),
  /** Where the backend server on this host takes requests. */
  backendAddress: address,
  /** Where callers on this host send requests. */
  callerAddress: address,
  /** Where the backend server on this host sends heartbeats. */
  heartbeatAddress: address,
  /** Where readiness is asked for. */
  readinessAddress: address,
  /** Where other daemons ask questions. */
  peerAddress: address,
  /** Where other daemons send gossip, as datagrams, and open links for requests, over TCP. */
  gossipAddress: address,
  /** Where metrics are read; none are served without it. */
  metricsAddress: address.optional(),
  storeAddress: address,
  /** Speed of the host's network link; not known without it. */
  linkBytesPerSecond: z.number().positive().optional(),
  /** Usual pause between two heartbeats of the backend server, in milliseconds. */
  heartbeatMs: z.number().positive(),
  bounds: z.object({
    /** From the acknowledgement that a backend server leaves until it may get no more requests. */
    drainMs: z.number().positive(),
    /** From the request to stop until the process is killed. */
    graceMs: z.number().positive(),
    /** Resends for each request, over the fleet. */
    resendRatio: z.number().min(0),
    /** Resends beyond the ratio in one window, over the fleet. */
    resendExtra: z.number().min(0),
    resendWindowMs: z.number().positive(),
    /** From the acknowledgement that a zone is evacuated until its backend servers may get no more requests. */
    evacuateMs: z.number().positive(),
    /** Most requests in one second at a cold backend server, for each that it bears. */
    coldRatio: z.number().min(0),
    /** Requests in one second at a cold backend server beyond the ratio. */
    coldExtra: z.number().min(0),
  }),
});
/** What a router must know to run. */
export type RouterSettings = z.infer<typeof RouterSettings>;

/** Where settings come from. */
export abstract class SettingsSource {
  /** Reads the settings as they are now. */
  abstract read(): Result<RouterSettings, BamboolinkError>;

  /** A text that changes when the settings may have changed; cheap enough to be asked every second. */
  abstract readVersion(): string;
}
