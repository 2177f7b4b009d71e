/**
 * Probes keys all the time and tells how long each of them was not served.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";

/** Time between two probes of one key, and the time that a probe has, in milliseconds. */
const EVERY_MS = 100;
const TIMEOUT_MS = 400;

/** Probes a set of keys through some daemons. */
export class Prober {
  #agent = new Agent({ connections: 64, pipelining: 1 });
  #running = true;
  #loops;
  #lastDone = new Map();
  #gaps = new Map();

  /**
   * @param path makes the path of a key.
   * @param targets daemons that stay.
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

  /** Forgets the gaps so far. */
  reset() {
    this.#gaps.clear();
    this.#lastDone.clear();
  }

  /** Longest time between two answers, beyond the time between two probes, by key in milliseconds. */
  gaps() {
    const now = performance.now();
    return this.keys.map((key) => {
      const open = now - (this.#lastDone.get(key) ?? now) - EVERY_MS;
      return Math.max(0, this.#gaps.get(key) ?? 0, open);
    });
  }

  async stop() {
    this.#running = false;
    await Promise.all(this.#loops);
    await this.#agent.destroy();
  }

  async #probe(key, index) {
    await sleep((index * 7) % EVERY_MS);
    for (let count = 0; this.#running; count += 1) {
      const startedMs = performance.now();
      const target = this.targets[(index + count) % this.targets.length];
      if (await this.#isServed(target, key)) {
        this.#noteDone(key);
      }
      await sleep(Math.max(1, EVERY_MS - (performance.now() - startedMs)));
    }
  }

  async #isServed(target, key) {
    try {
      const response = await this.#agent.request({
        origin: `http://${target}`,
        path: this.path(key),
        method: "GET",
        headers: { "bamboolink-deadline-ms": String(TIMEOUT_MS) },
        signal: AbortSignal.timeout(TIMEOUT_MS + 100),
      });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }

  #noteDone(key) {
    const now = performance.now();
    const last = this.#lastDone.get(key);
    if (last !== undefined) {
      this.#gaps.set(
        key,
        Math.max(this.#gaps.get(key) ?? 0, now - last - EVERY_MS),
      );
    }
    this.#lastDone.set(key, now);
  }
}

/** Median, 99th percentile and worst of a list. */
export function summarize(values) {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (share) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
  return { median: at(0.5), p99: at(0.99), worst: at(1), count: sorted.length };
}
