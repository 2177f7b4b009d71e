/**
 * The traffic configuration of a router: which requests belong to which service, and how long they may
 * take. It is decoded from the operators' document at the edge; nothing inside knows its source format.
 *
 * @module
 */
import { z } from "zod";

/** One of the services among which the requests of a route are split. */
export const RouteTarget = z.object({
  service: z.string().min(1),
  /** Relative share of the route's requests. */
  weight: z.number().min(0),
});
/** One of the services among which the requests of a route are split. */
export type RouteTarget = z.infer<typeof RouteTarget>;

/** The requests of one host below one path prefix. */
export const TrafficRoute = z.object({
  name: z.string(),
  /** Host name without a port, in lower case. */
  host: z.string().min(1),
  /** Begins and ends with a slash. */
  prefix: z.string().startsWith("/").endsWith("/"),
  /** Whether a request may run more than once. */
  idempotent: z.boolean(),
  /** The longest time a caller is kept waiting, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** The latency objective, in milliseconds. */
  objectiveMs: z.number().positive(),
  /** The most backend servers one request may be sent to. */
  maximumAttempts: z.int().min(1),
  /** 0 is the most urgent. */
  rank: z.int().min(0),
  targets: z.array(RouteTarget).min(1),
});
/** The requests of one host below one path prefix. */
export type TrafficRoute = z.infer<typeof TrafficRoute>;

/** A service as the router sees it. */
export const TrafficService = z.object({
  name: z.string().min(1),
  /** Whether each key has exactly one owner among the backend servers. */
  keyed: z.boolean(),
  /** The most connections one backend server takes from all its clients. */
  maximumConnections: z.int().min(1),
  /** Path of the health check. */
  healthPath: z.string().startsWith("/"),
  /** Requests a second that a cold backend server bears; not known without it. */
  coldRequestsPerSecond: z.number().min(0).optional(),
});
/** A service as the router sees it. */
export type TrafficService = z.infer<typeof TrafficService>;

/** Bounds on what a caller may send. */
export const CallerLimits = z.object({
  headerBytes: z.int().min(1),
  bodyBytes: z.int().min(0),
  /** How long a caller may take to send its headers, in milliseconds. */
  headerTimeoutMs: z.number().positive(),
  /** How long a caller's connection may be idle, in milliseconds. */
  idleTimeoutMs: z.number().positive(),
});
/** Bounds on what a caller may send. */
export type CallerLimits = z.infer<typeof CallerLimits>;

/** One version of the whole traffic configuration. */
export const TrafficConfiguration = z.object({
  /** Grows with each change; a lower one is never put in force after a higher one. */
  version: z.number().min(0),
  routes: z.array(TrafficRoute),
  services: z.array(TrafficService),
  limits: CallerLimits,
});
/** One version of the whole traffic configuration. */
export type TrafficConfiguration = z.infer<typeof TrafficConfiguration>;
