/**
 * The record of one session: one life of one daemon, as the store holds it.
 *
 * @module
 */
import { z } from "zod";

/**
 * - `open`: the session may serve while it holds promises from a quorum of its witnesses.
 * - `sealed`: it is being ended. It can't change its witnesses, and is assigned nothing any more.
 * - `ended`: it is certain that it can never serve again, and neither can a promise of its own hold.
 */
export const SessionState = z.enum(["open", "sealed", "ended"]);
/** State of a session. */
export type SessionState = z.infer<typeof SessionState>;

/** One session record. */
export const SessionRecord = z.strictObject({
  /** `host~incarnation`; never used again. */
  id: z.string().min(1),
  host: z.string().min(1),
  region: z.string(),
  availability_zone: z.string(),
  /** Where other daemons reach it, `address:port`. */
  control_address: z.string(),
  /** Where callers and forwarding daemons reach it, `address:port`. */
  data_address: z.string(),
  service: z.string(),
  slots: z.int().min(1),
  checks_fencing: z.boolean(),
  /** The longest time that work handed over may still run, in milliseconds. */
  longest_work_ms: z.int().min(0),
  draining: z.boolean(),
  state: SessionState,
  /** Identities of the sessions that promise for this one. */
  witnesses: z.array(z.string()),
  /**
   * Identities of earlier sessions of which this one vouches that their process has ended: it holds
   * their address on their host, and only one process can listen there.
   */
  replaces: z.array(z.string()),
  /** An operator's word that the host is off; see `bamboolink declare-lost`. */
  declared_lost: z.boolean(),
  /** Wall-clock time of the start, in milliseconds since 1970, for people only. */
  started_at_ms: z.int(),
  /** Why it was sealed, for people. */
  sealed_reason: z.string(),
});
/** One session record. */
export type SessionRecord = z.infer<typeof SessionRecord>;

/** The record by which one daemon is the planner. */
export const PlannerRecord = z.strictObject({
  session: z.string(),
  elected_at_ms: z.int(),
});
/** The record by which one daemon is the planner. */
export type PlannerRecord = z.infer<typeof PlannerRecord>;

/** An operator's request that a host gives up its keys. */
export const DrainRecord = z.strictObject({
  host: z.string(),
  author: z.string(),
  requested_at_ms: z.int(),
});
/** An operator's request that a host gives up its keys. */
export type DrainRecord = z.infer<typeof DrainRecord>;
