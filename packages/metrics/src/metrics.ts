/**
 * The metrics of one process.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";

/** Names and values that tell the series of one metric apart. */
export type Labels = Readonly<Record<string, string>>;

/** One series of a counter. */
export interface CounterValue {
  readonly name: string;
  readonly labels: Labels;
  readonly value: number;
}

/** Latencies are kept from 1 microsecond to 10 minutes, to three digits. */
const HIGHEST_MICROSECONDS = 600_000_000;
const QUANTILES = [0.5, 0.9, 0.99, 0.999, 1] as const;

interface LatencySeries {
  readonly labels: Labels;
  readonly histogram: Histogram;
}

/** Collects metrics and writes them as text. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly latencies = new Map<string, Map<string, LatencySeries>>();

  private constructor() {}

  /** Creates an empty collection. */
  static create(): Metrics {
    return new Metrics();
  }

  /** Adds to a counter. */
  count(name: string, labels: Labels = {}, by = 1): void {
    const known = this.counters.get(name);
    const counter = known ?? new Counter({
      name,
      help: helpOf(name),
      labelNames: Object.keys(labels),
      registers: [this.registry],
    });
    this.counters.set(name, counter);
    counter.inc(labels, by);
  }

  /** Reads a gauge's value anew at each scrape. */
  gauge(name: string, read: () => number): void {
    const gauge = new Gauge({
      name,
      help: helpOf(name),
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
    this.gauges.set(name, gauge);
  }

  /** Records a latency in milliseconds. */
  recordLatency(name: string, milliseconds: number, labels: Labels = {}): void {
    const series = this.latencySeries(name, labels);
    const microseconds = Math.max(
      1,
      Math.min(HIGHEST_MICROSECONDS, Math.round(milliseconds * 1_000)),
    );
    series.histogram.recordValue(microseconds);
  }

  /** Writes all metrics in the text format for scrapers. */
  async render(): Promise<string> {
    const latencies = [...this.latencies].flatMap(([name, series]) =>
      writeLatency(name, [...series.values()])
    );
    return [await this.registry.metrics(), ...latencies].join("\n") + "\n";
  }

  /** All counters as plain data, for bamboolink's own reports. */
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
        highestTrackableValue: HIGHEST_MICROSECONDS,
        numberOfSignificantValueDigits: 2,
      }),
    };
    all.set(key, series);
    return series;
  }
}

function helpOf(name: string): string {
  return name.replaceAll("_", " ");
}

function writeLatency(name: string, all: readonly LatencySeries[]): string[] {
  const lines = all.flatMap(({ labels, histogram }) => [
    ...QUANTILES.map((quantile) => {
      const seconds = histogram.getValueAtPercentile(quantile * 100) / 1e6;
      return `${name}${
        writeLabels({ ...labels, quantile: String(quantile) })
      } ${seconds}`;
    }),
    `${name}_count${writeLabels(labels)} ${histogram.totalCount}`,
    `${name}_sum${writeLabels(labels)} ${
      (histogram.mean * histogram.totalCount) / 1e6
    }`,
  ]);
  return [`# HELP ${name} ${helpOf(name)}`, `# TYPE ${name} summary`, ...lines];
}

function writeLabels(labels: Labels): string {
  const pairs = Object.entries(labels).map(([name, value]) =>
    `${name}=${JSON.stringify(value)}`
  );
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}
