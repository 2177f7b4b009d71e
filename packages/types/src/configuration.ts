/**
 * Schemas of the configuration document, which defines the services, their availability zones and the
 * rules that map requests to keys, and of the record in which the store holds it.
 *
 * @module
 */
import { z } from "zod";

/** Maximum number of partitions of one service. */
export const MAXIMUM_PARTITIONS = 65_536;

const name = z.string().regex(
  /^[a-z][a-z0-9-]{0,62}$/,
  "expected lower-case letters, digits and dashes, starting with a letter, 63 characters at most",
);

/** The part of a request that holds its key: a path parameter, a query parameter or a header. */
export const KeyRule = z.discriminatedUnion("from", [
  z.strictObject({ from: z.literal("path"), parameter: z.string().min(1) }),
  z.strictObject({ from: z.literal("query"), parameter: z.string().min(1) }),
  z.strictObject({ from: z.literal("header"), header: z.string().min(1) }),
]);
/** The part of a request that holds its key. */
export type KeyRule = z.infer<typeof KeyRule>;

/** Priority class of an operation. While slots are scarce, `interactive` requests run before `batch` requests. */
export const PriorityClass = z.enum(["interactive", "batch"]);
/** Priority class of an operation. */
export type PriorityClass = z.infer<typeof PriorityClass>;

/** One operation of a service: which requests it matches and how they are handled. */
export const Operation = z.strictObject({
  name,
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  /** Path pattern with parameters, for example `/quotes/:part`. */
  path: z.string().startsWith("/", "expected a path that starts with '/'"),
  key: KeyRule,
  /** Whether running a request twice has the same effect as running it once. */
  idempotent: z.boolean(),
  priority: PriorityClass.default("interactive"),
  /** Time limit for the complete response to a caller, in milliseconds. */
  timeout_ms: z.int().min(1).max(600_000),
});
/** One operation of a service. */
export type Operation = z.infer<typeof Operation>;

/** Limits of the request queue of one backend server. */
export const QueueLimits = z.strictObject({
  /** Maximum number of requests that wait for a slot at one backend server. */
  length: z.int().min(0).max(100_000).default(256),
  /** Minimum delay after which a refused caller is asked to retry, in milliseconds. */
  retry_after_ms: z.int().min(1).max(600_000).default(1_000),
});

/** Service level objective of a service; `bamboolink-burn` reports how much of its error budget is used up. */
export const Objective = z.strictObject({
  /** Share of requests that must succeed on time, for example 0.999. */
  good_share: z.number().min(0.5).max(0.999_999).default(0.999),
  /** Latency within which a response counts as on time, in milliseconds. */
  within_ms: z.int().min(1).max(600_000).default(1_000),
});
/** Service level objective of a service. */
export type Objective = z.infer<typeof Objective>;

/** One service: its operations and the parameters by which its keys are assigned to backend servers. */
export const Service = z.strictObject({
  name,
  /** Availability zones in which the service runs; each must be listed in `availability_zones`. */
  availability_zones: z.array(name).min(1),
  /** Number of partitions to which keys are hashed. It can't change while the service exists. */
  partitions: z.int().min(1).max(MAXIMUM_PARTITIONS).default(1024),
  operations: z.array(Operation).min(1),
  queue: QueueLimits.prefault({}),
  objective: Objective.prefault({}),
  /** Relative weights of load imbalance and of the time for which a move makes keys unavailable. */
  weights: z.strictObject({
    imbalance: z.number().min(0).max(100).default(1),
    unavailable_time: z.number().min(0).max(100).default(1),
  }).prefault({}),
});
/** One service. */
export type Service = z.infer<typeof Service>;

/** An availability zone in which services run, and its region. */
export const AvailabilityZone = z.strictObject({ name, region: name });
/** An availability zone and its region. */
export type AvailabilityZone = z.infer<typeof AvailabilityZone>;

/** The whole configuration document. */
export const ConfigurationDocument = z.strictObject({
  schema: z.literal("bamboolink/1"),
  availability_zones: z.array(AvailabilityZone).min(1),
  services: z.array(Service).min(1),
});
/** The whole configuration document. */
export type ConfigurationDocument = z.infer<typeof ConfigurationDocument>;

/** One accepted version of the configuration. */
export const ConfigurationVersion = z.strictObject({
  /** 1 for the first accepted document, incremented for each later one. */
  version: z.int().min(1),
  author: z.string().max(200),
  note: z.string().max(2_000),
  /** Wall-clock time of the apply, in milliseconds since 1970; for display only. */
  applied_at_ms: z.int(),
  /** Identifies one attempt to apply, so that its outcome can be determined if the response was lost. */
  attempt: z.string(),
  document: ConfigurationDocument,
});
/** One accepted version of the configuration. */
export type ConfigurationVersion = z.infer<typeof ConfigurationVersion>;

/** The configuration record in the store: the version in force and a bounded history, newest first. */
export const ConfigurationRecord = z.strictObject({
  current: ConfigurationVersion,
  history: z.array(ConfigurationVersion),
});
/** The configuration record in the store. */
export type ConfigurationRecord = z.infer<typeof ConfigurationRecord>;
