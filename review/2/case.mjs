// A machine is restarted in a rolling restart while the upstream beside it is being taken away: its router receives
// SIGTERM twice, once for each. TROUBLE=0: only for the upstream that has terminated.
import { configuration, Fleet, sleep } from "../common/fleet.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const DRAIN_MS = 2_000;
const GRACE_MS = 6_000;
const DEADLINE_MS = 1_500;
const ROUNDS = 3;
const PER_SECOND = 20;

const fleet = new Fleet({
  record: process.env.RECORD ?? new URL("record.txt", import.meta.url).pathname,
});
const services = [...Array(6).fill("quote-desk"), "order-book", "order-book"];
const ran = new Set();
await fleet.start(
  configuration(12, [{
    name: "place-order",
    prefix: "/orders/",
    kind: "non_idempotent",
    service: "order-book",
    timeout: 1_500,
    target: 600,
  }], [{ name: "order-book" }, { name: "quote-desk" }]),
  services.map((service, i) => ({
    service,
    zone: `casa-${"abc"[i % 3]}`,
    upstream: { slots: 6, workMs: () => 200 + Math.random() * 200 },
  })),
);
if (!await fleet.awaitReady()) {
  console.log("the routers don't become ready");
  process.exit(2);
}
fleet.hosts.forEach(({ upstream }) => upstream.onRun = ({ id }) => ran.add(id));
await sleep(5_000);

/** Orders from the requesters of one machine, until two questions for its readiness in a row went without a 200. */
async function sendOrders(host, results) {
  let misses = 0;
  let isIn = true;
  const asks = setInterval(async () => {
    misses = await fleet.isReady(host) ? 0 : misses + 1;
    if (misses >= 2) isIn = false;
  }, 1_000);
  const sent = [];
  while (isIn) {
    sent.push(
      fleet.send(host, {
        method: "POST",
        path: "/orders/new",
        body: "lot",
        deadlineMs: DEADLINE_MS,
      })
        .then((result) => results.push(result)),
    );
    await sleep(1_000 / PER_SECOND);
  }
  clearInterval(asks);
  await Promise.all(sent);
}

const lost = [];
let total = 0;
for (let round = 0; round < ROUNDS; round += 1) {
  const host = fleet.hosts[round];
  const results = [];
  const exits = () => host.exits?.length ?? 0;
  const orders = sendOrders(host, results);
  await sleep(3_500); // stability_window_ms without any disturbance
  // scale_in: the upstream says that it leaves, serves on for drain_ms after the ack, says DELETE and exits.
  host.upstream.state = "draining";
  const ackBefore = host.upstream.acks.accepted;
  while (host.upstream.acks.accepted === ackBefore) await sleep(20);
  fleet.record({ what: "leaving acknowledged", ip: host.ip });
  await sleep(DRAIN_MS - 900);
  if (hasTrouble) {
    // roll_term: the machines are stopped and started in turn, this one now.
    fleet.record({ what: "SIGTERM", ip: host.ip, why: "rolling restart" });
    host.router.kill("SIGTERM");
  }
  await sleep(1_100);
  await host.upstream.leave();
  fleet.record({
    what: "SIGTERM",
    ip: host.ip,
    why: "its upstream has terminated",
  });
  const stoppedAt = Date.now();
  host.router.kill("SIGTERM");
  await orders;
  while (exits() === 0 && Date.now() - stoppedAt < GRACE_MS) await sleep(20);
  if (exits() === 0) host.router.kill("SIGKILL");
  fleet.record({
    what: "exit",
    ip: host.ip,
    after: Date.now() - stoppedAt,
    exits: host.exits,
  });
  await sleep(500);
  total += results.length;
  // Passed on to an upstream, and the connection ended without an answer, before the time budget was reached.
  lost.push(
    ...results.filter(({ id, status, took }) =>
      status === 0 && ran.has(id) && took < DEADLINE_MS * 0.7
    ),
  );
}
const verdict = {
  what: "verdict",
  requests: total,
  lost: lost.map(({ id, took }) => ({ id, took })),
};
fleet.record(verdict);
console.log(
  `${total} orders; ${lost.length} had begun to run and got no answer as the router ended`,
);
fleet.close();
process.exit(lost.length > 0 ? 1 : total < 100 ? 2 : 0);
