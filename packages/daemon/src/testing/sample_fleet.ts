/**
 * A small fleet for tests of single components.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import { CONFIGURATION_KEY, sessionKey, tableKey } from "@bamboolink/types";
import { Fleet } from "../fleet.ts";

const createDocument = (timeoutMs: number) => ({
  schema: "bamboolink/1",
  availability_zones: [{ name: "z", region: "r" }],
  services: [{
    name: "quote-desk",
    availability_zones: ["z"],
    partitions: 16,
    queue: { length: 1, retry_after_ms: 1 },
    objective: { good_share: 0.99, within_ms: 100 },
    weights: { imbalance: 1, unavailable_time: 1 },
    operations: [{
      name: "quote",
      method: "GET",
      path: "/quotes/:part",
      key: { from: "path", parameter: "part" },
      idempotent: true,
      priority: "interactive",
      timeout_ms: timeoutMs,
    }],
  }],
});

/** Creates a fleet in which one session owns all keys of the service `quote-desk`. */
export function createFleet(
  logger: Logger,
  options: { timeoutMs: number; owner: string; ownerPort?: number },
): Fleet {
  const fleet = Fleet.create(logger);
  const version = {
    version: 1,
    author: "test",
    note: "",
    attempt: "1",
    applied_at_ms: 1,
    document: createDocument(options.timeoutMs),
  };
  const owner = {
    id: options.owner,
    host: options.owner,
    region: "r",
    availability_zone: "z",
    control_address: "127.0.0.1:1",
    data_address: `127.0.0.1:${options.ownerPort ?? 0}`,
    service: "quote-desk",
    slots: 6,
    checks_fencing: true,
    longest_work_ms: 5_000,
    draining: false,
    state: "open",
    witnesses: [],
    replaces: [],
    declared_lost: false,
    started_at_ms: 0,
    sealed_reason: "",
  };
  const shard = {
    service: "quote-desk",
    first: 0,
    version: 1,
    changes: [],
    sessions: [options.owner],
    owners: new Array(16).fill(0),
    tokens: new Array(16).fill(1),
    overrides: [],
  };
  const values: readonly [string, unknown][] = [
    [CONFIGURATION_KEY, { current: version, history: [] }],
    [sessionKey(options.owner), owner],
    [tableKey("quote-desk", 0), shard],
  ];
  fleet.merge({
    from: 0,
    to: values.length,
    records: values.map(([key, value], index) => ({
      key,
      value: JSON.stringify(value),
      revision: index + 1,
    })),
  });
  return fleet;
}
