// A write that hands keys over gets no answer and is executed seconds later; the process that sent it is killed and starts
// again meanwhile. TROUBLE=0: writes are answered, nothing is killed. TROUBLE=late, TROUBLE=kill: one of both alone.
import { configuration, Fleet, sleep } from "../common/fleet.mjs";

const trouble = process.env.TROUBLE ?? "1";
const hasTrouble = trouble !== "0";
const UPSTREAMS = 8;
const BEAT_MS = 1_500;
const LATE_MS = 3_200; // 1 to 6 s
const KILL_AFTER_MS = 200;
const DOWN_MS = 500;
const ROUNDS = 9;
const LOST_SHARE = 0.35;
const HOT_MS = 5_500;
const HOT_PER_SECOND = 300;
const CALM_PER_SECOND = 50;
const HOT_SHARE = 0.35;
const HOT_KEYS = 200;
const MAX_OVERLAP_MS = 500;
const SERVICE = "ocupacion";
const RECORD_KEY = `bamboolink/ownership/${SERVICE}`;

const fleet = new Fleet({
  record: process.env.RECORD ?? new URL("record.txt", import.meta.url).pathname,
  beatMs: BEAT_MS,
});
await fleet.start(
  configuration(12, [{
    name: "availability-check",
    prefix: "/dates/",
    kind: "safe",
    service: SERVICE,
    timeout: 1_500,
    target: 400,
  }], [{ name: SERVICE, sharded: true }]),
  Array.from({ length: UPSTREAMS }, (_, i) => ({
    service: SERVICE,
    zone: ["cordoba-a", "cordoba-b", "rosario-a"][i % 3],
    upstream: {
      keyed: true,
      slots: 9,
      workMs: () => 100 + Math.random() * 100,
    },
  })),
);
if (!await fleet.awaitReady()) {
  console.log("the routers don't become ready");
  process.exit(2);
}
await sleep(6_000);

const keysOf = (text, ip) => {
  const { daemons, ranges } = JSON.parse(text);
  return ranges.filter(([, , i]) => daemons[i].startsWith(`${ip}:`))
    .reduce((sum, [from, to]) => sum + to - from + 1, 0);
};
let isArmed = false;
let lateAt;
const total = { writes: 0, late: 0, executed: 0 };
let isHot = false;
fleet.store.late = (address, { puts = [] }) => {
  total.writes += 1;
  const put = puts.find(({ key }) => key === RECORD_KEY);
  const host = fleet.hosts.find(({ storeHost }) => storeHost === address);
  if (
    !isArmed || put === undefined || host === undefined ||
    Math.random() >= LOST_SHARE
  ) return undefined;
  const before = fleet.store.read(RECORD_KEY);
  const after = Buffer.from(put.value, "base64").toString();
  if (keysOf(after, host.ip) >= keysOf(before, host.ip)) return undefined;
  isArmed = false;
  lateAt = Date.now();
  total.late += 1;
  fleet.record({
    what: "write without an answer",
    ip: host.ip,
    executed_after: LATE_MS,
  });
  if (trouble !== "late") {
    setTimeout(async () => {
      host.router.kill("SIGKILL");
      fleet.record({ what: "SIGKILL", ip: host.ip });
      await sleep(DOWN_MS);
      fleet.startRouter(host);
    }, KILL_AFTER_MS);
  }
  return trouble === "kill" ? undefined : LATE_MS;
};

fleet.store.onLate = (status) => {
  if (status === 200) total.executed += 1;
  fleet.record({ what: "the late write", status });
};

// What the upstreams hold, looked at every 10 ms: pairs that hold the same keys.
const open = new Map();
const overlaps = [];
const runs = [];
fleet.hosts.forEach(({ upstream }) =>
  upstream.onRun = ({ key }) =>
    runs.push({ at: Date.now(), key, upstream: upstream.id })
);
const watch = () => {
  const now = Date.now();
  const seen = new Set();
  const rows = fleet.hosts.flatMap(({ upstream }) =>
    upstream.heldRows().map((row) => ({ ...row, upstream: upstream.id }))
  )
    .sort((a, b) => a.from - b.from);
  rows.forEach((row, i) => {
    for (let j = i + 1; j < rows.length && rows[j].from <= row.to; j += 1) {
      if (rows[j].upstream === row.upstream) continue;
      const keys = `${rows[j].from}-${Math.min(row.to, rows[j].to)}`;
      const name = `${keys} ${
        [row.upstream, rows[j].upstream].sort().join(" ")
      }`;
      seen.add(name);
      if (!open.has(name)) {
        open.set(name, {
          keys,
          upstreams: [row.upstream, rows[j].upstream],
          fences: [row.fence, rows[j].fence],
          from: now,
        });
      }
    }
  });
  for (const [name, overlap] of open) {
    if (seen.has(name)) continue;
    open.delete(name);
    const [low, high] = overlap.keys.split("-").map(Number);
    const during = runs.filter(({ at, key, upstream }) =>
      at >= overlap.from && at <= now && key >= low && key <= high &&
      overlap.upstreams.includes(upstream)
    );
    const entry = {
      ...overlap,
      lasted: now - overlap.from,
      ran_at: [...new Set(during.map(({ upstream }) => upstream))],
    };
    overlaps.push(entry);
    fleet.record({ what: "two upstreams held the same keys", ...entry });
  }
};
const watcher = setInterval(watch, 10);

let center = 0;
let isSending = true;
const counts = {};
const requesters = (async () => {
  let owed = 0;
  let last = Date.now();
  while (isSending) {
    await sleep(5);
    const now = Date.now();
    owed = Math.min(
      40,
      owed + (now - last) / 1_000 * (isHot ? HOT_PER_SECOND : CALM_PER_SECOND),
    );
    last = now;
    for (; owed >= 1; owed -= 1) {
      const key = Math.random() < HOT_SHARE
        ? center + Math.floor(Math.random() * HOT_KEYS)
        : Math.floor(Math.random() * 65_536);
      const host = fleet.hosts[Math.floor(Math.random() * UPSTREAMS)];
      void fleet.send(host, { path: "/dates/x", key, deadlineMs: 1_500 })
        .then(({ status }) => counts[status] = (counts[status] ?? 0) + 1);
    }
  }
})();
let armedRounds = 0;
for (let round = 0; round < ROUNDS; round += 1) {
  const rows = fleet.hosts[1 + round % (UPSTREAMS - 1)].upstream.heldRows();
  const widest = rows.toSorted((a, b) => (b.to - b.from) - (a.to - a.from))[0];
  if (widest === undefined) {
    await sleep(2_000);
    continue;
  }
  center = Math.min(
    65_536 - HOT_KEYS,
    widest.from + Math.floor((widest.to - widest.from) / 2),
  );
  lateAt = undefined;
  isArmed = hasTrouble;
  isHot = true;
  const startedAt = Date.now();
  while (Date.now() - startedAt < HOT_MS && lateAt === undefined) {
    await sleep(20);
  }
  isHot = false;
  isArmed = false;
  if (lateAt !== undefined) {
    armedRounds += 1;
    await sleep(LATE_MS + 3_500);
  } else {
    await sleep(1_500);
  }
}
isSending = false;
await requesters;
await sleep(1_500);
clearInterval(watcher);
watch();
const broken = overlaps.filter(({ lasted, ran_at }) =>
  lasted > MAX_OVERLAP_MS || ran_at.length > 1
);
fleet.record({
  what: "verdict",
  rounds: armedRounds,
  overlaps,
  broken: broken.length,
  counts,
  writes: total,
});
console.log(
  `${armedRounds} late writes; same keys held twice: ${
    overlaps.map(({ keys, lasted, ran_at }) =>
      `${keys} ${lasted} ms${ran_at.length > 1 ? " both ran" : ""}`
    ).join(", ") || "never"
  }; ${JSON.stringify(counts)}; ${JSON.stringify(total)}`,
);
fleet.close();
process.exit(broken.length > 0 ? 1 : hasTrouble && armedRounds === 0 ? 2 : 0);
