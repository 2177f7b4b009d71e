/**
 * Works out burn from samples of counters. Pure.
 *
 * @module
 */
import type { Service } from "@bamboolink/types";

/** One counter of one daemon. */
export interface CounterSample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** The counters of all daemons at one time. */
export interface BurnSample {
  /** Milliseconds on any clock that does not go back. */
  readonly atMs: number;
  /** Counters by host; hosts that did not answer are absent. */
  readonly hosts: Readonly<Record<string, readonly CounterSample[]>>;
}

/** Burn over one window. */
export interface WindowBurn {
  readonly windowMs: number;
  readonly requests: number;
  /** Requests that were not done in time. */
  readonly bad: number;
  /** Share of bad requests in relation to the share that the objective allows. */
  readonly burn: number;
}

/** One cause of bad requests. */
export interface BurnCause {
  readonly by: "outcome" | "operation" | "host";
  readonly name: string;
  readonly bad: number;
}

/** The report of one service. */
export interface ServiceBurn {
  readonly service: string;
  readonly goodShare: number;
  readonly withinMs: number;
  readonly short: WindowBurn;
  readonly long: WindowBurn;
  /** Share of the error budget of the long window that is left; below 0 where it is overspent. */
  readonly budgetLeft: number;
  readonly causes: readonly BurnCause[];
  /** Burn between each two samples, for a plot. */
  readonly course: readonly number[];
}

/** The report of all services. */
export interface BurnReport {
  readonly services: readonly ServiceBurn[];
}

const TOTAL = "bamboolink_requests_total";
const GOOD = "bamboolink_requests_good_total";
/** Requests that were wrong or whose caller left say nothing about the service. */
const NOT_COUNTED = new Set(["invalid", "cancelled"]);

/** Requests between two samples. */
interface Spent {
  readonly host: string;
  readonly operation: string;
  readonly outcome: string;
  readonly bad: number;
  readonly requests: number;
}

/** Computes the report of all services from samples in the order of their times. */
export function computeBurn(
  samples: readonly BurnSample[],
  options: { services: readonly Service[]; shortMs: number; longMs: number },
): BurnReport {
  return {
    services: options.services.map((service) =>
      computeService(samples, { ...options, service })
    ),
  };
}

function computeService(
  samples: readonly BurnSample[],
  options: { service: Service; shortMs: number; longMs: number },
): ServiceBurn {
  const { service, shortMs, longMs } = options;
  const { good_share: goodShare, within_ms: withinMs } = service.objective;
  const steps = samples.slice(1).map((sample, index) => ({
    atMs: sample.atMs,
    spent: compareSamples({
      before: samples[index] as BurnSample,
      after: sample,
    }, service.name),
  }));
  const endMs = samples.at(-1)?.atMs ?? 0;
  const within = (windowMs: number) =>
    steps.filter(({ atMs }) => atMs > endMs - windowMs).flatMap(({ spent }) =>
      spent
    );
  const burnOf = (spent: readonly Spent[]) =>
    sumBad(spent) / Math.max(1, sumRequests(spent)) / (1 - goodShare);
  const windowBurn = (windowMs: number): WindowBurn => {
    const spent = within(windowMs);
    return {
      windowMs,
      requests: sumRequests(spent),
      bad: sumBad(spent),
      burn: burnOf(spent),
    };
  };
  const long = windowBurn(longMs);
  return {
    service: service.name,
    goodShare,
    withinMs,
    short: windowBurn(shortMs),
    long,
    budgetLeft: 1 - long.burn,
    causes: findCauses(within(longMs)),
    course: steps.map(({ spent }) => burnOf(spent)),
  };
}

/** A counter that went down belongs to a daemon that restarted; it counts from 0. */
function compareSamples(
  pair: { before: BurnSample; after: BurnSample },
  service: string,
): Spent[] {
  return Object.entries(pair.after.hosts).flatMap(([host, counters]) => {
    const before = pair.before.hosts[host];
    if (before === undefined) {
      return [];
    }
    const old = new Map(
      before.map((counter) => [seriesOf(counter), counter.value]),
    );
    const grown = counters
      .filter(({ labels }) =>
        labels["service"] === service && labels["hop"] === "entrance"
      )
      .map((counter) => {
        const earlier = old.get(seriesOf(counter)) ?? 0;
        return {
          ...counter,
          value: counter.value - (counter.value >= earlier ? earlier : 0),
        };
      });
    return describeHost(host, grown);
  });
}

function describeHost(host: string, grown: readonly CounterSample[]): Spent[] {
  const good = new Map(
    grown.filter(({ name }) => name === GOOD).map((
      { labels, value },
    ) => [labels["operation"], value]),
  );
  return grown
    .filter(({ name, labels }) =>
      name === TOTAL && !NOT_COUNTED.has(labels["outcome"] ?? "")
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

function findCauses(spent: readonly Spent[]): BurnCause[] {
  return (["outcome", "operation", "host"] as const).flatMap((by) => {
    const names = [...new Set(spent.map((entry) => entry[by]))];
    return names
      .map((name) => ({
        by,
        name,
        bad: sumBad(spent.filter((entry) => entry[by] === name)),
      }))
      .filter(({ bad }) => bad > 0)
      .sort((left, right) => right.bad - left.bad);
  });
}

function seriesOf(counter: CounterSample): string {
  return counter.name + JSON.stringify(Object.entries(counter.labels).sort());
}

function sumBad(spent: readonly Spent[]): number {
  return spent.reduce((sum, { bad }) => sum + bad, 0);
}

function sumRequests(spent: readonly Spent[]): number {
  return spent.reduce((sum, { requests }) => sum + requests, 0);
}
