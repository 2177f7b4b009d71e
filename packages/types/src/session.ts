/**
 * Schemas of the store's records of sessions, of the elected planner and of requests to drain a host. A
 * session is one incarnation of one daemon.
 *
 * @module
 */
import { z } from "zod";

/**
 * State of a session.
 *
 * - `open`: the session may serve while it holds promises from a quorum of its witnesses.
 * - `sealed`: the session is being ended. It can't change its witnesses and gets no further assignments.
 * - `ended`: the session can certainly never serve again, and no promise that it gave is still in force.
 */
export const SessionState = z.enum(["open", "sealed", "ended"]);
/** State of a session. */
export type SessionState = z.infer<typeof SessionState>;

/** One session record. */
export const SessionRecord = z.strictObject({
  /** `host~incarnation`; never reused. */
  id: z.string().min(1),
  host: z.string().min(1),
  region: z.string(),
  availability_zone: z.string(),
  /** `address:port` to which other daemons connect. */
  control_address: z.string(),
  /** `address:port` to which callers and forwarding daemons connect. */
  data_address: z.string(),
  service: z.string(),
  slots: z.int().min(1),
  checks_fencing: z.boolean(),
  /** Maximum time for which a dispatched request may still run, in milliseconds. */
  longest_work_ms: z.int().min(0),
  draining: z.boolean(),
  state: SessionState,
  /** Ids of the sessions that give promises to this one. */
  witnesses: z.array(z.string()),
  /**
   * Ids of earlier sessions whose process has certainly ended, because this session listens at their
   * address on their host and only one process can do so.
   */
  replaces: z.array(z.string()),
  /** Whether an operator has declared that the host is switched off; see `bamboolink declare-lost`. */
  declared_lost: z.boolean(),
  /** Wall-clock time of the start, in milliseconds since 1970; for display only. */
  started_at_ms: z.int(),
  /** Why the session was sealed; for display only. */
  sealed_reason: z.string(),
});
/** One session record. */
export type SessionRecord = z.infer<typeof SessionRecord>;

/** The record of the elected planner, which names the session of its daemon. */
export const PlannerRecord = z.strictObject({
  session: z.string(),
  elected_at_ms: z.int(),
});
/** The record of the elected planner. */
export type PlannerRecord = z.infer<typeof PlannerRecord>;

/** An operator's request that a host release its keys. */
export const DrainRecord = z.strictObject({
  host: z.string(),
  author: z.string(),
  requested_at_ms: z.int(),
});
/** An operator's request to drain a host. */
export type DrainRecord = z.infer<typeof DrainRecord>;
