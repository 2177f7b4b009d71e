/**
 * The schema of the configuration document: the services, the places they run in and the rules by
 * which keys belong to servers. It is the whole configuration in force.
 *
 * @module
 */
import { z } from "zod";

/** The most partitions that one service may have. */
export const MAXIMUM_PARTITIONS = 65_536;

const name = z.string().regex(
  /^[a-z][a-z0-9-]{0,62}$/,
  "expected lower-case letters, digits and dashes, starting with a letter, 63 characters at most",
);

/** How the key is found in a request. */
export const KeyRule = z.discriminatedUnion("from", [
  z.strictObject({ from: z.literal("path"), parameter: z.string().min(1) }),
  z.strictObject({ from: z.literal("query"), parameter: z.string().min(1) }),
  z.strictObject({ from: z.literal("header"), header: z.string().min(1) }),
]);
/** How the key is found in a request. */
export type KeyRule = z.infer<typeof KeyRule>;

/**
 * The class of an operation. `interactive` work goes before `batch` work when slots are short.
 */
export const PriorityClass = z.enum(["interactive", "batch"]);
/** The class of an operation. */
export type PriorityClass = z.infer<typeof PriorityClass>;

/** One operation of a service: which requests it covers and how they are treated. */
export const Operation = z.strictObject({
  name,
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  /** A path with parameters, for example `/quotes/:part`. */
  path: z.string().startsWith("/", "expected a path that starts with '/'"),
  key: KeyRule,
  /** Whether running it twice has the effect of running it once. */
  idempotent: z.boolean(),
  priority: PriorityClass.default("interactive"),
  /** How long a caller waits for the whole answer, in milliseconds. */
  timeout_ms: z.int().min(1).max(600_000),
});
/** One operation of a service. */
export type Operation = z.infer<typeof Operation>;

/** The limits of the queue beside one backend server. */
export const QueueLimits = z.strictObject({
  /** The most requests that wait for a slot at one backend server. */
  length: z.int().min(0).max(100_000).default(256),
  /** The least time until a refused caller is asked to come back, in milliseconds. */
  retry_after_ms: z.int().min(1).max(600_000).default(1_000),
});

/** What callers of a service may expect; `bamboolink-burn` reports how much of it is used up. */
export const Objective = z.strictObject({
  /** Share of requests that are to be done in time, for example 0.999. */
  good_share: z.number().min(0.5).max(0.999_999).default(0.999),
  /** In time means within this, in milliseconds. */
  within_ms: z.int().min(1).max(600_000).default(1_000),
});
/** What callers of a service may expect. */
export type Objective = z.infer<typeof Objective>;

/** One service: its operations and the rule by which its keys belong to backend servers. */
export const Service = z.strictObject({
  name,
  /** Availability zones in which the service runs; each must be listed in `availability_zones`. */
  availability_zones: z.array(name).min(1),
  /** Keys are hashed to this many partitions. It can't change while the service exists. */
  partitions: z.int().min(1).max(MAXIMUM_PARTITIONS).default(1024),
  operations: z.array(Operation).min(1),
  queue: QueueLimits.prefault({}),
  objective: Objective.prefault({}),
  /**
   * How an imbalance of load is weighed against the unavailable time of a move. Both are relative.
   */
  weights: z.strictObject({
    imbalance: z.number().min(0).max(100).default(1),
    unavailable_time: z.number().min(0).max(100).default(1),
  }).prefault({}),
});
/** One service. */
export type Service = z.infer<typeof Service>;

/** A place in which services run. */
export const AvailabilityZone = z.strictObject({ name, region: name });
/** A place in which services run. */
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
  /** 1 for the first accepted document, one more for each that follows. */
  version: z.int().min(1),
  author: z.string().max(200),
  note: z.string().max(2_000),
  /** Wall-clock time of the apply, in milliseconds since 1970, for people only. */
  applied_at_ms: z.int(),
  /** Tells one attempt from another, so that an apply whose answer was lost can be settled. */
  attempt: z.string(),
  document: ConfigurationDocument,
});
/** One accepted version of the configuration. */
export type ConfigurationVersion = z.infer<typeof ConfigurationVersion>;

/** What the store holds: the version in force and a bounded history, newest first. */
export const ConfigurationRecord = z.strictObject({
  current: ConfigurationVersion,
  history: z.array(ConfigurationVersion),
});
/** What the store holds about the configuration. */
export type ConfigurationRecord = z.infer<typeof ConfigurationRecord>;
