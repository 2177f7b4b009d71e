/**
 * What daemons say of themselves.
 *
 * @module
 */
import { z } from "zod";

/**
 * What the backend server beside a daemon can do.
 *
 * - `absent`: it has not announced itself, or is gone.
 * - `ready`: it takes work.
 * - `draining`: it leaves and takes no new work.
 * - `evacuated`: operators have its availability zone get no work.
 * - `stopping`: the daemon itself stops, so that nobody can reach the backend server for a while.
 */
export const MemberPhase = z.enum([
  "absent",
  "ready",
  "draining",
  "evacuated",
  "stopping",
]);
/** What the backend server beside a daemon can do. */
export type MemberPhase = z.infer<typeof MemberPhase>;

/** What one daemon says of itself, and others pass on. */
export const MemberReport = z.object({
  /** Where the daemon takes gossip; names the daemon. */
  address: z.string().min(1),
  /** Grows when a daemon finds that others still tell of its earlier process. */
  incarnation: z.int().min(0),
  /** Grows with each report of one incarnation. */
  sequence: z.int().min(0),
  availabilityZone: z.string(),
  /** Where the daemon takes forwarded requests. */
  forwardAddress: z.string(),
  /** The service of the backend server beside it. */
  service: z.string(),
  phase: MemberPhase,
  /** Requests that the backend server runs at a time. */
  slots: z.int().min(0),
  /** Until a request that arrives now would start, in milliseconds. */
  waitMs: z.number().min(0),
  /** Usual time of a request, in milliseconds. */
  serviceMs: z.number().min(0),
  /** Work offered for each slot, 1 when all are busy. */
  utilization: z.number().min(0),
  /** Share of its recent requests that the backend server failed. */
  failureShare: z.number().min(0).max(1),
  /** Version of the traffic configuration in force there. */
  configurationVersion: z.number().min(0),
  /** The newest revision of ownership records known there, over all services. */
  ownershipRevision: z.int().min(0),
  /** Whether the daemon reaches the store. */
  reachesStore: z.boolean(),
});
/** What one daemon says of itself, and others pass on. */
export type MemberReport = z.infer<typeof MemberReport>;
