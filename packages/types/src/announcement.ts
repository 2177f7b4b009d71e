/**
 * What a backend server announces to the daemon on its own host.
 *
 * @module
 */
import { z } from "zod";

/** Body of `POST /bamboolink/v1/announcements`. It is repeated as a heartbeat. */
export const Announcement = z.strictObject({
  service: z.string().min(1).max(63),
  /** Port on this host on which the backend server answers HTTP. */
  port: z.int().min(1).max(65_535),
  /** How many requests it runs at once. */
  slots: z.int().min(1).max(10_000),
  /** The most connections that it accepts from the daemon. */
  connections: z.int().min(1).max(10_000).default(64),
  /** Whether it checks the fencing token and the expiry of its grant before and after running. */
  checks_fencing: z.boolean(),
  /** `draining` asks for no new work and for its keys to be moved away. */
  state: z.enum(["ready", "draining"]).default("ready"),
});
/** What a backend server announces. */
export type Announcement = z.infer<typeof Announcement>;
