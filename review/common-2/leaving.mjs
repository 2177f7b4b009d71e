/**
 * An upstream that leaves with `DELETE` only, after a ping that is held up on its way, and what is sent to it after its
 * departure was acknowledged.
 */
import { writeFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import { Callers } from "./caller.mjs";
import { Fleet, operatorDocument, sleep } from "./fleet.mjs";
import { Upstream } from "./upstream.mjs";

const DRAIN_MS = 2_000;
/** How long the upstream goes on serving after the ack of its departure. */
const STAY_MS = 13_000;
const PER_SECOND = 60;

const record = [];
const startedAtMs = Date.now();
const note = (text) =>
  record.push(`${((Date.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`);

/** Passes on one connection to the control address, its bytes after `delayMs`. */
async function createHoldUp(fleet, host, delayMs) {
  const server = createServer((inner) => {
    const chunks = [];
    inner.on("error", () => undefined);
    inner.on("data", (chunk) => chunks.push(chunk));
    setTimeout(() => {
      note(`the held up ping of ${host.name} arrives`);
      const outer = connect(fleet.ports.control, host.ip);
      outer.on("error", () => undefined);
      outer.on("data", (bytes) => {
        note(`  answer: ${String(bytes).split("\r\n")[0]}`);
        inner.destroyed || inner.write(bytes);
      });
      chunks.forEach((chunk) => outer.write(chunk));
      setTimeout(() => outer.destroy(), 3_000);
    }, delayMs);
  });
  await new Promise((resolve) =>
    server.listen(fleet.ports.beats, host.ip, resolve)
  );
  return server;
}

async function play({ holdUpMs }) {
  const fleet = await Fleet.create([
    "reservas",
    "reservas",
    "reservas",
    "listings",
  ]);
  const callers = new Callers(fleet);
  const arrivals = [];
  let isOver = false;
  let holdUp;
  try {
    fleet.store.write(
      "op/config",
      operatorDocument(1, {
        routes: [
          ["book", "/book/", "non_idempotent", "reservas", 1_000, 400, 2, 1],
          ["browse", "/browse/", "safe", "listings", 1_000, 400, 2, 2],
        ],
        services: [["reservas", false], ["listings", false]],
      }),
    );
    const upstreams = fleet.hosts.map((host) => {
      const upstream = new Upstream({
        host: host.ip,
        port: fleet.ports.app,
        control: fleet.address(host, "control"),
        service: host.service,
        zone: host.zone,
        heartbeatMs: fleet.heartbeatMs,
        workMs: 100,
      });
      upstream.onArrival = (arrival) =>
        arrivals.push({ ...arrival, at: host.name });
      return upstream;
    });
    fleet.hosts.forEach((host) => fleet.startRouter(host));
    await Promise.all(upstreams.map((upstream) => upstream.start()));
    if (!await fleet.awaitReady()) {
      return 2;
    }
    await sleep(2_500);
    const traffic = (async () => {
      for (let count = 0; !isOver; count += 1) {
        const host = fleet.hosts[count % fleet.hosts.length];
        const path = `/book/${count}`;
        void callers.send(host, { method: "POST", path, body: "a room" });
        await sleep(1_000 / PER_SECOND);
      }
    })();
    // In touch: nothing is disturbed for longer than `stability_window_ms`.
    await sleep(6_000);
    const [leaving] = upstreams;
    const [host] = fleet.hosts;
    const servedBefore = arrivals.filter(({ at }) => at === host.name).length;
    if (servedBefore === 0) {
      return 2;
    }
    leaving.pings = false;
    await sleep(1_100);
    if (holdUpMs > 0) {
      holdUp = await createHoldUp(fleet, host, holdUpMs);
      const wasAcked = await leaving.ping(fleet.address(host, "beats"));
      note(`${host.name}: ping ${leaving.sequence} (ready), ack: ${wasAcked}`);
    } else {
      const wasAcked = await leaving.ping();
      note(`${host.name}: ping ${leaving.sequence} (ready), ack: ${wasAcked}`);
    }
    const isAcked = await leaving.depart();
    const ackedAtMs = Date.now();
    note(
      `${host.name}: DELETE /-/instances/${leaving.instance}, ack: ${isAcked}`,
    );
    if (!isAcked) {
      return 2;
    }
    await sleep(STAY_MS);
    const cut = [...leaving.running];
    leaving.end();
    note(`${host.name}: the upstream exits, ${cut.length} orders at work`);
    await sleep(1_500);
    isOver = true;
    await traffic;
    await sleep(2_000);
    const late = arrivals.filter(({ at, atMs, verdict }) =>
      at === host.name && verdict === "run" &&
      atMs > ackedAtMs + DRAIN_MS
    );
    late.forEach(({ id, atMs }) => {
      const { from, status, error } = callers.sent.get(id);
      record.push(
        `order ${id} from ${from} runs at ${host.name} ${
          atMs - ackedAtMs
        } ms after the ack, answer: ${status} ${error ?? ""}`,
      );
    });
    const lost = cut.map((id) => callers.sent.get(id));
    const summary = {
      holdUpMs,
      sent: callers.sent.size,
      answers: Object.fromEntries(
        [...new Set([...callers.sent.values()].map(({ status }) => status))]
          .map((status) => [
            status,
            [...callers.sent.values()].filter((one) => one.status === status)
              .length,
          ]),
      ),
      ranBeforeTheAck: servedBefore,
      ranLaterThanDrainMs: late.length,
      lastOfTheseMs: late.length === 0 ? 0 : late.at(-1).atMs - ackedAtMs,
      ordersCutByTheExit: lost.map(({ id, status }) => `${id}: ${status}`),
    };
    record.push(JSON.stringify(summary, undefined, 2));
    console.log(JSON.stringify(summary));
    return late.length > 0 ? 1 : 0;
  } finally {
    holdUp?.close();
    callers.close();
    if (process.env.KEEP_LOG) {
      writeFileSync(process.env.KEEP_LOG, fleet.log.join(""));
    }
    await fleet.close();
  }
}

/** Plays the case and ends the process with the status of a case: 1 broken, 0 held, 2 couldn't run. */
export async function run(folder, trouble) {
  const status = await play(trouble).catch((cause) => {
    record.push(`could not run: ${cause.stack}`);
    console.error(cause);
    return 2;
  });
  writeFileSync(new URL("record.txt", folder), `${record.join("\n")}\n`);
  process.exit(status);
}
