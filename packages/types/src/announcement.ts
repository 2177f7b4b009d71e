/**
 * Schema of the announcement that a backend server sends to the daemon on its own host.
 *
 * @module
 */
import { z } from "zod";

/** Body of `POST /bamboolink/v1/announcements`, sent repeatedly as a heartbeat. */
export const Announcement = z.strictObject({
  service: z.string().min(1).max(63),
  /** Port on this host on which the backend server accepts HTTP requests. */
  port: z.int().min(1).max(65_535),
  /** Maximum number of requests that it runs concurrently. */
  slots: z.int().min(1).max(10_000),
  /** Maximum number of connections that it accepts from the daemon. */
  connections: z.int().min(1).max(10_000).default(64),
  /** Whether it checks the fencing token and the expiry of the grant before and after it runs a request. */
  checks_fencing: z.boolean(),
  /** `draining` asks the daemon to send it no new requests and to move its keys to other servers. */
  state: z.enum(["ready", "draining"]).default("ready"),
});
/** An announcement of a backend server. */
export type Announcement = z.infer<typeof Announcement>;
