/**
 * Probes keys continuously and measures how long each of them was not served.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";

/** Time between the starts of two probes of a key. */
const PROBE_INTERVAL_MS = 100;
/** Deadline of a probe. */
const PROBE_TIMEOUT_MS = 400;

/** Probes each key of a set at a fixed interval, through each of some daemons in turn. */
export class Prober {
  #agent = new Agent({ connections: 64, pipelining: 1 });
  #running = true;
  #loops;
  #lastSuccessMs = new Map();
  #maxGapsMs = new Map();

  /**
   * @param path Returns the request path of a key.
   * @param keys The keys to probe.
   * @param targets Data addresses of daemons that keep running.
   */
  constructor({ path, keys, targets }) {
    this.path = path;
    this.keys = keys;
    this.targets = targets;
  }

  /** Starts probing. */
  start() {
    this.#loops = this.keys.map((key, index) => this.#probe(key, index));
  }

  /** Discards the gaps measured so far. */
  reset() {
    this.#maxGapsMs.clear();
    this.#lastSuccessMs.clear();
  }

  /**
   * Returns for each key the longest time between two successful probes less the probe interval, in milliseconds; a
   * gap that has not ended yet counts.
   */
  gaps() {
    const nowMs = performance.now();
    return this.keys.map((key) => {
      const currentGap = nowMs - (this.#lastSuccessMs.get(key) ?? nowMs) -
        PROBE_INTERVAL_MS;
      return Math.max(0, this.#maxGapsMs.get(key) ?? 0, currentGap);
    });
  }

  /** Stops probing and waits for the probes in flight. */
  async stop() {
    this.#running = false;
    await Promise.all(this.#loops);
    await this.#agent.destroy();
  }

  async #probe(key, index) {
    await sleep((index * 7) % PROBE_INTERVAL_MS);
    for (let count = 0; this.#running; count += 1) {
      const startedMs = performance.now();
      const target = this.targets[(index + count) % this.targets.length];
      if (await this.#isServed(target, key)) {
        this.#recordSuccess(key);
      }
      await sleep(
        Math.max(1, PROBE_INTERVAL_MS - (performance.now() - startedMs)),
      );
    }
  }

  async #isServed(target, key) {
    try {
      const response = await this.#agent.request({
        origin: `http://${target}`,
        path: this.path(key),
        method: "GET",
        headers: { "bamboolink-deadline-ms": String(PROBE_TIMEOUT_MS) },
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS + 100),
      });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }

  #recordSuccess(key) {
    const nowMs = performance.now();
    const lastMs = this.#lastSuccessMs.get(key);
    if (lastMs !== undefined) {
      this.#maxGapsMs.set(
        key,
        Math.max(
          this.#maxGapsMs.get(key) ?? 0,
          nowMs - lastMs - PROBE_INTERVAL_MS,
        ),
      );
    }
    this.#lastSuccessMs.set(key, nowMs);
  }
}

/** Returns the median, 99th percentile, maximum and number of the values. */
export function summarize(values) {
  const sorted = [...values].sort((left, right) => left - right);
  const quantile = (share) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
  return {
    median: quantile(0.5),
    p99: quantile(0.99),
    worst: quantile(1),
    count: sorted.length,
  };
}
