/**
 * Computes the burn rates of service-level objectives from samples of request counters, without side effects.
 *
 * @module
 */
import type { Service } from "@bamboolink/types";

/** The value of one counter of one daemon. */
export interface CounterSample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** The counters of all daemons at one point in time. */
export interface BurnSample {
  /** Time of the sample in milliseconds on any monotonic clock. */
  readonly recordedAtMs: number;
  /** Counters by host, without hosts that did not respond. */
  readonly hosts: Readonly<Record<string, readonly CounterSample[]>>;
}

/** Burn rate over one window. */
export interface WindowBurn {
  readonly windowMs: number;
  readonly requests: number;
  /** Requests that did not succeed within the latency objective. */
  readonly bad: number;
  /**
   * Share of bad requests divided by the share that the objective allows. At 1 the error budget lasts exactly for
   * its period, at 10 for a tenth of it.
   */
  readonly burn: number;
}

/** Number of bad requests with one outcome, operation or host. */
export interface BurnCause {
  readonly by: "outcome" | "operation" | "host";
  readonly name: string;
  readonly bad: number;
}

/** Burn rates and error budget of one service. */
export interface ServiceBurn {
  readonly service: string;
  /** Share of requests that the objective requires to be good, from 0 to 1. */
  readonly goodShare: number;
  /** Latency objective in milliseconds. */
  readonly withinMs: number;
  readonly short: WindowBurn;
  readonly long: WindowBurn;
  /** Remaining share of the error budget of the long window; negative if it is overspent. */
  readonly budgetLeft: number;
  readonly causes: readonly BurnCause[];
  /** Burn rate between each pair of consecutive samples, for a plot. */
  readonly course: readonly number[];
}

/** Burn rates and error budgets of all services. */
export interface BurnReport {
  readonly services: readonly ServiceBurn[];
}

const TOTAL_COUNTER = "bamboolink_requests_total";
const GOOD_COUNTER = "bamboolink_requests_good_total";
/** Invalid requests and requests cancelled by the caller do not reflect the quality of the service. */
const EXCLUDED_OUTCOMES = new Set(["invalid", "cancelled"]);

/** Requests of one host, operation and outcome between two samples. */
interface RequestDelta {
  readonly host: string;
  readonly operation: string;
  readonly outcome: string;
  readonly bad: number;
  readonly requests: number;
}

/**
 * Computes the report of all services.
 *
 * @param samples Samples in chronological order.
 * @param options The services, and the lengths of the short and the long window in milliseconds, which both end at
 *   the last sample.
 */
export function computeBurn(
  samples: readonly BurnSample[],
  options: { services: readonly Service[]; shortMs: number; longMs: number },
): BurnReport {
  return {
    services: options.services.map((service) =>
      computeServiceBurn(samples, { ...options, service })
    ),
  };
}

function computeServiceBurn(
  samples: readonly BurnSample[],
  options: { service: Service; shortMs: number; longMs: number },
): ServiceBurn {
  const { service, shortMs, longMs } = options;
  const { good_share: goodShare, within_ms: withinMs } = service.objective;
  const intervals = samples.slice(1).map((sample, index) => ({
    endedAtMs: sample.recordedAtMs,
    deltas: computeDeltas({
      before: samples[index] as BurnSample,
      after: sample,
    }, service.name),
  }));
  const windowEndMs = samples.at(-1)?.recordedAtMs ?? 0;
  const deltasWithin = (windowMs: number) =>
    intervals.filter(({ endedAtMs }) => endedAtMs > windowEndMs - windowMs)
      .flatMap(({ deltas }) => deltas);
  const burnRateOf = (deltas: readonly RequestDelta[]) =>
    sumBad(deltas) / Math.max(1, sumRequests(deltas)) / (1 - goodShare);
  const computeWindow = (windowMs: number): WindowBurn => {
    const deltas = deltasWithin(windowMs);
    return {
      windowMs,
      requests: sumRequests(deltas),
      bad: sumBad(deltas),
      burn: burnRateOf(deltas),
    };
  };
  const long = computeWindow(longMs);
  return {
    service: service.name,
    goodShare,
    withinMs,
    short: computeWindow(shortMs),
    long,
    budgetLeft: 1 - long.burn,
    causes: rankCauses(deltasWithin(longMs)),
    course: intervals.map(({ deltas }) => burnRateOf(deltas)),
  };
}

/**
 * Computes the requests of a service between two samples, by host, operation and outcome. A counter that decreased
 * belongs to a daemon that restarted, so its increase is counted from 0. Counts a request only at the daemon
 * that received it from the caller (`hop` = `entrance`), because the owner counts a forwarded request as well.
 */
function computeDeltas(
  pair: { before: BurnSample; after: BurnSample },
  service: string,
): RequestDelta[] {
  return Object.entries(pair.after.hosts).flatMap(([host, counters]) => {
    const before = pair.before.hosts[host];
    if (before === undefined) {
      return [];
    }
    const previousValues = new Map(
      before.map((counter) => [seriesKey(counter), counter.value]),
    );
    const increases = counters
      .filter(({ labels }) =>
        labels["service"] === service && labels["hop"] === "entrance"
      )
      .map((counter) => {
        const previous = previousValues.get(seriesKey(counter)) ?? 0;
        return {
          ...counter,
          value: counter.value - (counter.value >= previous ? previous : 0),
        };
      });
    return toRequestDeltas(host, increases);
  });
}

function toRequestDeltas(
  host: string,
  increases: readonly CounterSample[],
): RequestDelta[] {
  const good = new Map(
    increases.filter(({ name }) => name === GOOD_COUNTER).map((
      { labels, value },
    ) => [labels["operation"], value]),
  );
  return increases
    .filter(({ name, labels }) =>
      name === TOTAL_COUNTER && !EXCLUDED_OUTCOMES.has(labels["outcome"] ?? "")
    )
    .map(({ labels, value }) => {
      const operation = labels["operation"] ?? "";
      const done = labels["outcome"] === "done";
      const bad = done
        ? Math.max(0, value - (good.get(operation) ?? 0))
        : value;
      return {
        host,
        operation,
        outcome: done ? "late" : labels["outcome"] ?? "",
        bad,
        requests: value,
      };
    });
}

function rankCauses(deltas: readonly RequestDelta[]): BurnCause[] {
  return (["outcome", "operation", "host"] as const).flatMap((by) => {
    const names = [...new Set(deltas.map((delta) => delta[by]))];
    return names
      .map((name) => ({
        by,
        name,
        bad: sumBad(deltas.filter((delta) => delta[by] === name)),
      }))
      .filter(({ bad }) => bad > 0)
      .sort((left, right) => right.bad - left.bad);
  });
}

function seriesKey(counter: CounterSample): string {
  return counter.name + JSON.stringify(Object.entries(counter.labels).sort());
}

function sumBad(deltas: readonly RequestDelta[]): number {
  return deltas.reduce((sum, { bad }) => sum + bad, 0);
}

function sumRequests(deltas: readonly RequestDelta[]): number {
  return deltas.reduce((sum, { requests }) => sum + requests, 0);
}
