// Orders by key at upstreams that shed part of their requests and repeat some of their answers.
// TROUBLE=0: the same without both. TROUBLE=shed, TROUBLE=extra: one of both alone.
import { configuration, Fleet, sleep } from "../common/fleet.mjs";

const trouble = process.env.TROUBLE ?? "1";
const hasShed = trouble === "1" || trouble === "shed";
const hasExtra = trouble === "1" || trouble === "extra";
const MACHINES = 5;
const GARBLED = 3; // share 0.6
const EXTRA_SHARE = 0.03;
const SHED_SHARE = 0.25; // at most 0.55
const SHED_MS = 8_500;
const EXTRA_MS = 5_000;
const PAUSE_MS = 3_000;
const ROUNDS = 8;
const PER_SECOND = 80;
const DEADLINE_MS = 1_000;

const fleet = new Fleet({
  record: process.env.RECORD ?? new URL("record.txt", import.meta.url).pathname,
});
const runs = new Map();
const answers = new Map();
const window = { shed: false, extra: false };

await fleet.start(
  configuration(12, [{
    name: "place-order",
    prefix: "/orders/",
    kind: "non_idempotent",
    service: "order-book",
    timeout: 1_000,
    target: 400,
    attempts: 3,
  }], [{ name: "order-book", sharded: true }]),
  Array.from({ length: MACHINES }, (_, i) => ({
    service: "order-book",
    zone: `casa-${"abc"[i % 3]}`,
    upstream: { keyed: true, slots: 6, workMs: () => 60 + Math.random() * 60 },
  })),
);
if (!await fleet.awaitReady()) {
  console.log("the routers don't become ready");
  process.exit(2);
}
fleet.hosts.forEach(({ upstream }, i) => {
  upstream.onRun = ({ id }) =>
    runs.set(id, [...(runs.get(id) ?? []), upstream.id]);
  upstream.sheds = () => window.shed && Math.random() < SHED_SHARE;
  upstream.spoils = () =>
    window.extra && i < GARBLED && Math.random() < EXTRA_SHARE;
});
await sleep(5_000);

let isSending = true;
const requesters = (async () => {
  for (let i = 0; isSending; i += 1) {
    const host = fleet.hosts[i % MACHINES];
    const key = Math.floor(Math.random() * 65_536);
    void fleet.send(host, {
      method: "POST",
      path: "/orders/new",
      key,
      body: `order ${i}`,
      deadlineMs: DEADLINE_MS,
    })
      .then(({ id, status }) => answers.set(id, status));
    await sleep(1_000 / PER_SECOND);
  }
})();
for (let round = 0; round < ROUNDS; round += 1) {
  await sleep(PAUSE_MS);
  fleet.record({ what: "round", round });
  window.shed = hasShed;
  await sleep(1_000);
  window.extra = hasExtra;
  await sleep(EXTRA_MS);
  window.extra = false;
  await sleep(SHED_MS - EXTRA_MS - 1_000);
  window.shed = false;
}
isSending = false;
await requesters;
await sleep(DEADLINE_MS + 1_500);

const twice = [...runs].filter(([, ran]) => ran.length > 1);
const refused = [...answers].filter(([id, status]) =>
  [408, 421, 429, 503].includes(status) && runs.has(id)
);
const counts = {};
answers.forEach((status) => counts[status] = (counts[status] ?? 0) + 1);
const served = counts[200] ?? 0;
const verdict = {
  what: "verdict",
  requests: answers.size,
  statuses: counts,
  ran_twice: twice.map(([id, ran]) => ({ id, ran, answered: answers.get(id) })),
  refused_but_run: refused.map(([id, status]) => ({ id, status })),
};
fleet.record(verdict);
console.log(
  `${answers.size} requests, ${
    JSON.stringify(counts)
  }; ran twice: ${twice.length}; refused but run: ${refused.length}`,
);
fleet.close();
process.exit(
  twice.length + refused.length > 0 ? 1 : served < answers.size / 4 ? 2 : 0,
);
