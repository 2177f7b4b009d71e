/**
 * Collects the metrics of one process. `prom-client` holds counters and gauges, `hdr-histogram-js` holds
 * latencies.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";

/** Label names and values, which distinguish the time series of one metric. */
export type Labels = Readonly<Record<string, string>>;

/** Current value of one time series of a counter. */
export interface CounterValue {
  readonly name: string;
  readonly labels: Labels;
  readonly value: number;
}

/**
 * Maximum latency that is recorded, in microseconds. Latencies are recorded from 1 microsecond to 10 minutes with 2
 * significant digits.
 */
const MAX_LATENCY_MICROSECONDS = 600_000_000;
const QUANTILES = [0.5, 0.9, 0.99, 0.999, 1] as const;

interface LatencySeries {
  readonly labels: Labels;
  readonly histogram: Histogram;
}

/** Collects metrics and renders them as text. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly latencies = new Map<string, Map<string, LatencySeries>>();

  private constructor() {}

  /** Creates a collection without metrics. */
  static create(): Metrics {
    return new Metrics();
  }

  /** Increments a counter by `by`. The first call for a name sets the label names of the counter. */
  count(name: string, labels: Labels = {}, by = 1): void {
    const known = this.counters.get(name);
    const counter = known ?? new Counter({
      name,
      help: helpTextOf(name),
      labelNames: Object.keys(labels),
      registers: [this.registry],
    });
    this.counters.set(name, counter);
    counter.inc(labels, by);
  }

  /** Registers a gauge, whose value is read at each scrape. */
  gauge(name: string, read: () => number): void {
    const gauge = new Gauge({
      name,
      help: helpTextOf(name),
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
    this.gauges.set(name, gauge);
  }

  /**
   * Registers a counter whose values are read at each scrape, for values that change too often to count each change
   * with labels.
   */
  counterFrom(
    name: string,
    label: string,
    read: () => Iterable<readonly [string, number]>,
  ): void {
    this.counters.set(
      name,
      new Counter({
        name,
        help: helpTextOf(name),
        labelNames: [label],
        registers: [this.registry],
        collect() {
          this.reset();
          [...read()].forEach(([value, count]) =>
            this.inc({ [label]: value }, count)
          );
        },
      }),
    );
  }

  /** Records a latency in milliseconds, clamped to the range from 1 microsecond to 10 minutes. */
  recordLatency(name: string, milliseconds: number, labels: Labels = {}): void {
    const series = this.latencySeries(name, labels);
    const microseconds = Math.max(
      1,
      Math.min(MAX_LATENCY_MICROSECONDS, Math.round(milliseconds * 1_000)),
    );
    series.histogram.recordValue(microseconds);
  }

  /** Renders all metrics in the Prometheus text format; latencies are in seconds. */
  async render(): Promise<string> {
    const latencies = [...this.latencies].flatMap(([name, series]) =>
      renderLatency(name, [...series.values()])
    );
    return [await this.registry.metrics(), ...latencies].join("\n") + "\n";
  }

  /** Returns all time series of all counters as plain data, for bamboolink's own reports. */
  async readCounters(): Promise<CounterValue[]> {
    const all = await Promise.all(
      [...this.counters].map(async ([name, counter]) => {
        const { values } = await counter.get();
        return values.map(({ labels, value }) => ({
          name,
          labels: labels as Labels,
          value,
        }));
      }),
    );
    return all.flat();
  }

  private latencySeries(name: string, labels: Labels): LatencySeries {
    const all = this.latencies.get(name) ?? new Map<string, LatencySeries>();
    this.latencies.set(name, all);
    const key = Object.values(labels).join("\n");
    const known = all.get(key);
    const series = known ?? {
      labels,
      histogram: build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_LATENCY_MICROSECONDS,
        numberOfSignificantValueDigits: 2,
      }),
    };
    all.set(key, series);
    return series;
  }
}

function helpTextOf(name: string): string {
  return name.replaceAll("_", " ");
}

function renderLatency(name: string, all: readonly LatencySeries[]): string[] {
  const lines = all.flatMap(({ labels, histogram }) => [
    ...QUANTILES.map((quantile) => {
      const seconds = histogram.getValueAtPercentile(quantile * 100) / 1e6;
      return `${name}${
        renderLabels({ ...labels, quantile: String(quantile) })
      } ${seconds}`;
    }),
    `${name}_count${renderLabels(labels)} ${histogram.totalCount}`,
    `${name}_sum${renderLabels(labels)} ${
      (histogram.mean * histogram.totalCount) / 1e6
    }`,
  ]);
  return [
    `# HELP ${name} ${helpTextOf(name)}`,
    `# TYPE ${name} summary`,
    ...lines,
  ];
}

function renderLabels(labels: Labels): string {
  const pairs = Object.entries(labels).map(([name, value]) =>
    `${name}=${JSON.stringify(value)}`
  );
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}
