/**
 * Schemas of the router's traffic configuration, which maps requests to services and limits how long they
 * may take. It is decoded from the operators' document at the edge, so that no other code depends on the
 * format of that document.
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
  /** Path prefix that begins and ends with a slash. */
  prefix: z.string().startsWith("/").endsWith("/"),
  /** Whether a request may run more than once. */
  idempotent: z.boolean(),
  /** Maximum time for which a caller waits, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** The latency objective, in milliseconds. */
  objectiveMs: z.number().positive(),
  /** Maximum number of backend servers to which one request may be sent. */
  maximumAttempts: z.int().min(1),
  /** Priority rank; 0 is the most urgent. */
  rank: z.int().min(0),
  targets: z.array(RouteTarget).min(1),
});
/** The requests of one host below one path prefix. */
export type TrafficRoute = z.infer<typeof TrafficRoute>;

/** The router's configuration of one service. */
export const TrafficService = z.object({
  name: z.string().min(1),
  /** Whether each key has exactly one owner among the backend servers. */
  keyed: z.boolean(),
  /** Maximum number of connections that one backend server accepts from all its clients. */
  maximumConnections: z.int().min(1),
  /** Path of the health check. */
  healthPath: z.string().startsWith("/"),
  /** Requests per second that a cold backend server can handle; absent if not known. */
  coldRequestsPerSecond: z.number().min(0).optional(),
});
/** The router's configuration of one service. */
export type TrafficService = z.infer<typeof TrafficService>;

/** Limits on the size and the timing of what a caller sends. */
export const CallerLimits = z.object({
  /** Maximum size of the request's header block. */
  headerBytes: z.int().min(1),
  /** Maximum size of the request's body. */
  bodyBytes: z.int().min(0),
  /** Maximum time for a caller to send the headers of a request, in milliseconds. */
  headerTimeoutMs: z.number().positive(),
  /** Maximum idle time of a caller's connection, in milliseconds. */
  idleTimeoutMs: z.number().positive(),
});
/** Limits on what a caller sends. */
export type CallerLimits = z.infer<typeof CallerLimits>;

/** The fields of a route that determine where, and how often, a request may run. */
export const RouteExecution = TrafficRoute.pick({
  idempotent: true,
  maximumAttempts: true,
  targets: true,
});

/** A route that could not be decoded, with those of its fields that could. */
export const UnreadableRoute = z.object({
  name: TrafficRoute.shape.name.optional(),
  host: TrafficRoute.shape.host.optional(),
  prefix: TrafficRoute.shape.prefix.optional(),
  execution: RouteExecution.optional(),
  /** The fields that could not be decoded, for operators. */
  reason: z.string(),
});
/** A route that could not be decoded, with those of its fields that could. */
export type UnreadableRoute = z.infer<typeof UnreadableRoute>;

/** A service that could not be decoded, with those of its fields that could. */
export const UnreadableService = z.object({
  name: TrafficService.shape.name.optional(),
  keyed: TrafficService.shape.keyed.optional(),
  /** The fields that could not be decoded, for operators. */
  reason: z.string(),
});
/** A service that could not be decoded, with those of its fields that could. */
export type UnreadableService = z.infer<typeof UnreadableService>;

/** One version of the complete traffic configuration. */
export const TrafficConfiguration = z.object({
  /** Increases with each change; a version is never applied after a higher one. */
  version: z.number().min(0),
  routes: z.array(TrafficRoute),
  services: z.array(TrafficService),
  /** Routes of this version that are missing in `routes` because they could not be decoded. */
  unreadableRoutes: z.array(UnreadableRoute),
  /** Services of this version that are missing in `services` because they could not be decoded. */
  unreadableServices: z.array(UnreadableService),
  limits: CallerLimits,
});
/** One version of the complete traffic configuration. */
export type TrafficConfiguration = z.infer<typeof TrafficConfiguration>;
