/**
 * Measures the CPU time that a daemon takes to decode an ownership record, the operators' document and gossip, and to
 * encode gossip, while its code is cold.
 *
 *     npm run bench -- decoding record|document|gossip|round [RANGES, ROUTES OR DAEMONS]
 *
 * The measurement runs in this process, whose code is cold, so each kind needs a run of its own. Schemas are
 * interpreted as in the router. The times include those of V8's threads, which optimize functions and collect garbage.
 *
 * @module
 */
import { z } from "zod";
import { OwnershipRecord } from "../../packages/keyspace/dist/mod.js";
import {
  decodeGossip,
  encodeGossip,
} from "../../packages/membership/dist/mod.js";
import { OperatorDocument } from "../../platform/dist/mod.js";

/** Sizes of consecutive groups of calls; each is reported with its mean. */
const GROUPS = [1, 1, 1, 5, 20, 50];
const DEFAULT_RANGES = 150;
const DEFAULT_ROUTES = 1_300;
const KEY_COUNT = 65_536;
const OWNERS = 41;
const DEFAULT_DAEMONS = 80;
/** Reports in a datagram of gossip, and how many of them a daemon of a large fleet doesn't know yet. */
const REPORTS_PER_DATAGRAM = 14;
const NEW_REPORTS_PER_DATAGRAM = 5;

function createRecordTexts(ranges, count) {
  const width = Math.floor(KEY_COUNT / ranges);
  return Array.from(
    { length: count },
    (_, version) =>
      OwnershipRecord.create().assign(
        Array.from({ length: ranges }, (_, index) => ({
          from: index * width,
          to: (index + 1) * width - 1,
          daemon: `10.0.${(index * 7 + version) % OWNERS}.1:7000`,
          handover: index % 3 === 0 ? "" : `proof-${version}-${index}`,
        })),
      ).encode(),
  );
}

const ROUTE_COLUMNS = [
  "name",
  "host",
  "prefix",
  "kind",
  "service",
  "timeout_ms",
  "target_latency_ms",
  "max_attempts",
  "priority",
  "traffic_split",
];

function createRow(index, version) {
  return [
    `r-${index}`,
    `host-${index % 40}.example`,
    `/prefix-${index}/`,
    "safe",
    index % 10 === 0 ? null : "plain",
    2_000 + (index === version * 13 ? version : 0),
    500,
    2,
    1,
    index % 10 === 0
      ? [{ service: "plain", weight: 90 }, { service: "keyed", weight: 10 }]
      : null,
  ];
}

/** Versions of a document, each of which differs from the one before in one or two routes. */
function createDocumentTexts(routes, count) {
  return Array.from({ length: count }, (_, version) =>
    JSON.stringify({
      version: `r${version + 1}`,
      routes: {
        columns: ROUTE_COLUMNS,
        rows: Array.from(
          { length: routes },
          (_, index) => createRow(index, version),
        ),
      },
      services: {
        columns: ["name", "sharded", "health_path", "max_connections"],
        rows: [["plain", false, "/healthz", 64], ["keyed", true, null, 64]],
      },
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 1_000_000,
        header_timeout_ms: 5_000,
        idle_timeout_ms: 60_000,
      },
    }));
}

/** The gossip of one round. */
function createMessage(daemons, round) {
  return {
    sender: `10.0.0.${round % daemons}:7000`,
    reports: Array.from({ length: REPORTS_PER_DATAGRAM }, (_, index) => ({
      address: `10.0.0.${(round * 3 + index) % daemons}:7000`,
      incarnation: 1,
      sequence: round * 2 + 17,
      availabilityZone: `zone-${index % 4}`,
      peerAddress: `10.0.0.${(round * 3 + index) % daemons}:8000`,
      service: "tracker",
      phase: "ready",
      slots: 6,
      waitMs: round * 1.3,
      serviceMs: 133.4,
      utilization: 0.71,
      failureShare: 0,
      configurationVersion: 7,
      ownershipRevision: 1_234,
      reachesStore: true,
      capacity: 6,
      statedStatus: null,
    })),
    digests: Array.from({ length: daemons }, (_, index) => ({
      addressHash: (index * 2_654_435_761) >>> 0,
      incarnation: 1,
      sequence: round * 2 + index,
    })),
  };
}

const CASES = {
  gossip: (size = DEFAULT_DAEMONS) => ({
    texts: Array.from(
      { length: countCalls() },
      (_, round) => encodeGossip(createMessage(Number(size), round)),
    ),
    decode: (bytes) => {
      let seen = 0;
      return decodeGossip(bytes, () => (seen += 1) <= NEW_REPORTS_PER_DATAGRAM);
    },
  }),
  round: (size = DEFAULT_DAEMONS) => ({
    texts: Array.from(
      { length: countCalls() },
      (_, round) => createMessage(Number(size), round),
    ),
    decode: (message) => ({ _unsafeUnwrap: () => encodeGossip(message) }),
  }),
  record: (size = DEFAULT_RANGES) => ({
    texts: createRecordTexts(Number(size), countCalls()),
    decode: (text, index) => OwnershipRecord.decode(text, index + 1),
  }),
  document: (size = DEFAULT_ROUTES) => {
    const documents = OperatorDocument.create();
    return {
      texts: createDocumentTexts(Number(size), countCalls()),
      decode: (text) => documents.decode(text),
    };
  },
};

function countCalls() {
  return GROUPS.reduce((sum, size) => sum + size, 0);
}

/** CPU time of this process so far, in milliseconds. */
function readCpuMs() {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

/** Runs one case and prints the mean CPU time of each group of calls. */
export function run([name, size]) {
  z.config({ jitless: true });
  const { texts, decode } = CASES[name](size);
  const durations = texts.map((text, index) => {
    const startedMs = readCpuMs();
    decode(text, index)._unsafeUnwrap();
    return readCpuMs() - startedMs;
  });
  let start = 0;
  GROUPS.forEach((group) => {
    const part = durations.slice(start, start + group);
    const meanMs = part.reduce((sum, ms) => sum + ms, 0) / group;
    const calls = group === 1
      ? `call ${start + 1}`
      : `calls ${start + 1} to ${start + group}`;
    console.log(`${calls.padEnd(16)}${meanMs.toFixed(3).padStart(9)} ms`);
    start += group;
  });
  return 0;
}
