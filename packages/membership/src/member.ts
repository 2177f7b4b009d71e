/**
 * The status that each daemon reports to the others.
 *
 * @module
 */
import { z } from "zod";

/**
 * State of the backend server on a daemon's host.
 *
 * - `absent`: it has not announced itself, or has stopped.
 * - `ready`: it accepts requests.
 * - `draining`: it is shutting down and accepts no new requests.
 * - `evacuated`: operators have evacuated its availability zone, so it gets no requests.
 * - `stopping`: the daemon itself is stopping, so the backend server is unreachable for a while.
 */
export const MemberPhase = z.enum([
  "absent",
  "ready",
  "draining",
  "evacuated",
  "stopping",
]);
/** State of the backend server on a daemon's host. */
export type MemberPhase = z.infer<typeof MemberPhase>;

/** Maximum number of ranks for which a report contains waits; less urgent ranks have the wait of the last one. */
export const MAX_RANK_WAITS = 8;
/** Longest wait in a report, in milliseconds: far beyond the deadline of any request. */
export const MAX_WAIT_MS = 600_000;
/** Expected waits by rank, in milliseconds; empty where they are not known. */
const RankWaitList = z.array(z.number().min(0).max(MAX_WAIT_MS)).max(
  MAX_RANK_WAITS,
);

/** What a backend server has stated about itself in its responses. */
export const StatedStatus = z.object({
  instance: z.string(),
  /** When its process started, in Unix milliseconds by the clock of its host. */
  born: z.int(),
  /** Whether it is about to shut down. */
  isLeaving: z.boolean(),
  /** Requests per second that it takes from all hosts together; `null` without a limit. */
  limitPerSecond: z.number().min(0).nullable(),
});
/** What a backend server has stated about itself in its responses. */
export type StatedStatus = z.infer<typeof StatedStatus>;

/** Status report of one daemon, which other daemons forward. */
export const MemberReport = z.object({
  /** Address on which the daemon receives gossip; identifies the daemon. */
  address: z.string().min(1),
  /** Increased when a daemon learns that others still hold reports of an earlier process at its address. */
  incarnation: z.int().min(0),
  /** Increases with each report of one incarnation. */
  sequence: z.int().min(0),
  availabilityZone: z.string(),
  /** Address at which the daemon serves the configuration, ownership records and store calls to other daemons. */
  peerAddress: z.string(),
  /** Service of the backend server on the daemon's host. */
  service: z.string(),
  phase: MemberPhase,
  /** How many requests the backend server runs concurrently. */
  slots: z.int().min(0),
  /** Expected queueing time of a request that arrives now, in milliseconds. */
  waitMs: z.number().min(0),
  /** Typical service time of a request, in milliseconds. */
  serviceMs: z.number().min(0),
  /** Offered load relative to `capacity`; 1 when all of it is used. */
  utilization: z.number().min(0),
  /** Share of recent requests that failed at the backend server. */
  failureShare: z.number().min(0).max(1),
  /** Version of the traffic configuration that the daemon has in force. */
  configurationVersion: z.number().min(0),
  /** Highest revision of the ownership records known to the daemon, across all services. */
  ownershipRevision: z.int().min(0),
  /** Whether the daemon can reach the store. */
  reachesStore: z.boolean(),
  /** Slots that requests can keep busy: fewer than `slots` if the backend server limits the rate of requests. */
  capacity: z.number().min(0),
  /**
   * What the backend server has stated in its responses; `null` if that is nothing. Only this daemon receives them, so
   * its next process learns of it from the others.
   */
  statedStatus: StatedStatus.nullable(),
  /** Empty; earlier versions report waits by rank here and in the next field. */
  rankWaitsMs: RankWaitList,
  lateRankWaitsMs: RankWaitList,
  /** Recent average time until a large request body that is offered to the host begins to arrive, in milliseconds. */
  bodyWaitMs: z.number().min(0).max(MAX_WAIT_MS),
});
/** Status report of one daemon, which other daemons forward. */
export type MemberReport = z.infer<typeof MemberReport>;
