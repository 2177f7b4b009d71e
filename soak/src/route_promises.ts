/**
 * Decides whether a response with a status from 300 to 499 breaks a promise: the request may be allowed by every
 * configuration that may be in force at the daemon that answered it.
 *
 * @module
 */

/** Time after a disturbance until a daemon counts as in touch again, in milliseconds. */
const STABILITY_WINDOW_MS = 3_000;
/** A version is in force at all daemons in touch within this time after its acknowledgement, in milliseconds. */
const APPLY_TIMEOUT_MS = 2_000;
/** Extends `APPLY_TIMEOUT_MS` while the store is unstable without being down or slow, in milliseconds. */
const UNSTABLE_STORE_EXTENSION_MS = 5_000;
/** Statuses which only promise that the request has not run. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429]);

/** A version of the configuration, and what it allows. */
export interface ConfigurationVersion {
  readonly version: number;
  /** Prefixes of its routes, with their slashes. */
  readonly prefixes: readonly string[];
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** When it was sent to the store, in Unix milliseconds. */
  readonly writtenAtMs: number;
  /** When the store acknowledged it, in Unix milliseconds. */
  readonly acknowledgedAtMs: number;
}

/** A span of time in which versions may take longer to be in force. */
export interface Disturbance {
  /** The host that it affects, or all hosts. */
  readonly address: string | "all";
  readonly startedAtMs: number;
  /** End of the disturbance in Unix milliseconds; infinite while it lasts. */
  readonly endedAtMs: number;
  /**
   * Whether it lifts the time limit for new versions, or extends it by `UNSTABLE_STORE_EXTENSION_MS` for versions whose
   * limit was not lifted since their acknowledgement.
   */
  readonly effect: "lifts" | "extends";
}

/** A proper request and its response. */
export interface JudgedRequest {
  readonly id: string;
  /** Host whose daemon received it. */
  readonly address: string;
  readonly path: string;
  /** Upper bound on the size of its head, in bytes. */
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly sentAtMs: number;
  readonly completedAtMs: number;
  /** Status of the response, 0 if there was none. */
  readonly status: number;
}

/** What is known about a run when requests are judged; `versions` are in the order of their writes. */
export interface RunHistory {
  readonly versions: readonly ConfigurationVersion[];
  readonly disturbances: readonly Disturbance[];
}

/** Returns a message for each request that was denied although every version that may be in force allows it. */
export function findDeniedRequests(
  requests: readonly JudgedRequest[],
  history: RunHistory,
): string[] {
  return requests
    .filter((request) => isDeniedWrongly(request, history))
    .map(({ address, completedAtMs, id, path, status }) =>
      `${id} for ${path} was denied with ${status} by ${address} at ${completedAtMs}`
    );
}

/** Whether a response breaks a promise. */
export function isDeniedWrongly(
  request: JudgedRequest,
  history: RunHistory,
): boolean {
  const { status } = request;
  if (status < 300 || status >= 500 || REFUSAL_STATUSES.has(status)) {
    return false;
  }
  return findVersionsPossiblyInForce(request, history)
    .every((version) => isAllowed(request, version));
}

/**
 * Returns the versions that may be in force at a daemon while it handles a request: all of the run if the time limit is
 * lifted for it.
 */
export function findVersionsPossiblyInForce(
  request: Pick<JudgedRequest, "address" | "sentAtMs" | "completedAtMs">,
  { versions, disturbances }: RunHistory,
): ConfigurationVersion[] {
  const { address, sentAtMs, completedAtMs } = request;
  const relevant = disturbances.filter((disturbance) =>
    [address, "all"].includes(disturbance.address) &&
    disturbance.startedAtMs <= completedAtMs
  );
  const recent = relevant.filter(({ endedAtMs }) =>
    endedAtMs + STABILITY_WINDOW_MS > sentAtMs
  );
  if (recent.some(({ effect }) => effect === "lifts")) {
    return [...versions];
  }
  /** When a version can no longer be in force after its successor was acknowledged. */
  const findLimitMs = (acknowledgedAtMs: number) => {
    if (recent.length === 0) {
      return acknowledgedAtMs + APPLY_TIMEOUT_MS;
    }
    const wasLifted = relevant.some(({ effect, endedAtMs }) =>
      effect === "lifts" && endedAtMs > acknowledgedAtMs
    );
    return wasLifted
      ? Infinity
      : acknowledgedAtMs + APPLY_TIMEOUT_MS + UNSTABLE_STORE_EXTENSION_MS;
  };
  return versions.filter(({ writtenAtMs }, index) => {
    const successor = versions[index + 1];
    return writtenAtMs <= completedAtMs && (successor === undefined ||
      sentAtMs <= findLimitMs(successor.acknowledgedAtMs));
  });
}

function isAllowed(
  request: JudgedRequest,
  version: ConfigurationVersion,
): boolean {
  return version.prefixes.some((prefix) => request.path.startsWith(prefix)) &&
    request.headerBytes <= version.maxHeaderBytes &&
    request.bodyBytes <= version.maxBodyBytes;
}
