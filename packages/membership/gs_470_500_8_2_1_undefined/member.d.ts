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
 * - `stopping`: the daemon itself stops, so that nobody can reach the backend server for a while.
 */
export declare const MemberPhase: z.ZodEnum<{
  absent: "absent";
  draining: "draining";
  ready: "ready";
  stopping: "stopping";
}>;
/** What the backend server beside a daemon can do. */
export type MemberPhase = z.infer<typeof MemberPhase>;
/** What one daemon says of itself, and others pass on. */
export declare const MemberReport: z.ZodObject<{
  address: z.ZodString;
  incarnation: z.ZodInt;
  beat: z.ZodInt;
  availabilityZone: z.ZodString;
  forwardAddress: z.ZodString;
  service: z.ZodString;
  phase: z.ZodEnum<{
    absent: "absent";
    draining: "draining";
    ready: "ready";
    stopping: "stopping";
  }>;
  slots: z.ZodInt;
  waitMs: z.ZodNumber;
  serviceMs: z.ZodNumber;
  utilization: z.ZodNumber;
  failureShare: z.ZodNumber;
  configurationVersion: z.ZodNumber;
  ownershipRevision: z.ZodInt;
  reachesStore: z.ZodBoolean;
}, z.core.$strip>;
/** What one daemon says of itself, and others pass on. */
export type MemberReport = z.infer<typeof MemberReport>;
