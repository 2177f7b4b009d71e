/**
 * Failure tests over real processes: kills, freezes, outages of the store, racing operators, cut
 * answers. One fleet for all; no test depends on how long something takes.
 *
 * @module
 */
import { expect } from "chai";
import { readFileSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Agent, request } from "undici";
import { ATLAS_HOSTS, ProcessFleet, waitFor } from "./fleet.mjs";

const run = fileURLToPath(new URL("../.run/tests", import.meta.url));
const example = fileURLToPath(
  new URL("../examples/atlas.json", import.meta.url),
);

describe("a fleet of processes", function () {
  this.timeout(90_000);
  let fleet;
  let hosts;

  const operate = (...args) =>
    fleet.runTool("operator", [...args, "--store", fleet.store]);
  const hostNamed = (name) => hosts.find(({ host }) => host === name);

  async function readDaemons() {
    const status = await operate("status", "--json");
    return status.code === 0 ? JSON.parse(status.stdout).daemons : [];
  }

  async function isServing(count) {
    const daemons = await readDaemons();
    const serving = daemons.filter(({ state }) => state === "serving");
    const owned = serving.reduce((sum, { partitions }) => sum + partitions, 0);
    return serving.length === count && daemons.length === count &&
      owned === 1_536;
  }

  async function setFaults(address, faults) {
    await (await request(`http://${address}/standin/faults`, {
      method: "POST",
      body: JSON.stringify(faults),
    })).body.dump();
  }

  /** Load on the daemons that stay, in the background; the report when it has ended. */
  async function startLoad(targets, options = {}) {
    const flags = {
      targets: targets.map(({ data }) => data).join(","),
      ledgers: (options.ledgers ?? hosts).map(({ backend }) => backend).join(
        ",",
      ),
      configuration: example,
      rate: 150,
      seconds: options.seconds ?? 6,
      output: "json",
    };
    const args = Object.entries(flags).flatMap(([name, value]) => [
      `--${name}`,
      String(value),
    ]);
    const result = await fleet.runTool("load", args);
    expect(result.stderr).to.equal("");
    return JSON.parse(result.stdout);
  }

  /** A connection that is kept; `status` 0 means that it ended without an answer. */
  async function openKept(address) {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    await new Promise((resolve) => socket.once("connect", resolve));
    const ask = () =>
      new Promise((resolve) => {
        let text = "";
        const finish = (answer) => {
          socket.removeAllListeners();
          socket.on("error", () => undefined);
          resolve(answer);
        };
        const lost = () => finish({ status: 0, isLast: true });
        socket.on("data", (chunk) => {
          text += chunk;
          const [head, body] = text.split("\r\n\r\n");
          const length = /content-length: (\d+)/i.exec(head)?.[1];
          if (body !== undefined && body.length >= Number(length ?? 0)) {
            const status = Number(head.split(" ")[1]);
            finish({ status, isLast: /connection: close/i.test(head) });
          }
        });
        socket.on("error", lost);
        socket.on("close", lost);
        socket.write(`GET /quotes/BC547 HTTP/1.1\r\nhost: ${address}\r\n\r\n`);
      });
    return { socket, ask };
  }

  async function readLedgers() {
    return await Promise.all(hosts.map(async ({ host, backend }) => {
      const response = await request(`http://${backend}/standin/ledger`);
      return { host, runs: await response.body.json() };
    }));
  }

  /** Sole ownership as the backend servers saw it: one token of a partition is one server's. */
  function expectOneServerForEachToken(ledgers) {
    const servers = new Map();
    ledgers.forEach(({ host, runs }) =>
      runs.forEach(({ url, partition, token }) => {
        const service = url.split("/")[1].split("?")[0];
        const name = `${service} ${partition} ${token}`;
        expect(servers.get(name) ?? host, name).to.equal(host);
        servers.set(name, host);
      })
    );
    expect(servers.size).to.be.above(0);
  }

  function expectNothingBroken(report) {
    const { doubled, lost, falselyNotRun, totals } = report;
    expect({ doubled, lost, falselyNotRun, crossed: totals.crossed ?? 0 }).to
      .deep.equal({ doubled: 0, lost: 0, falselyNotRun: 0, crossed: 0 });
  }

  before(async () => {
    fleet = new ProcessFleet(run);
    await fleet.startStore();
    hosts = await Promise.all(
      ATLAS_HOSTS.map((place) => fleet.startHost(place)),
    );
    const applied = await operate("config", "apply", example, "--wait");
    expect(applied.code, applied.stderr).to.equal(0);
    await waitFor(() => isServing(12), "owners for all keys", 40_000);
  });

  after(() => fleet.stop());

  describe("when all is well", () => {
    it("answers every request whole, once, from the owner", async () => {
      const report = await startLoad(hosts, { seconds: 2 });
      expectNothingBroken(report);
      expect(report.totals).to.deep.equal({ done: report.sent });
    });

    it("explains who owns a key", async () => {
      const owner = await operate("owner", "BC547", "--json");
      const [first] = JSON.parse(owner.stdout);
      expect(first).to.include({
        service: "quote-desk",
        why: "first assignment",
      });
      const response = await request(`http://${hosts[0].data}/quotes/BC547`);
      expect((await response.body.json()).served_by).to.equal(first.host);
      expect(response.headers["bamboolink-owner"]).to.equal(first.address);
    });
  });

  describe("callers who use one request identity twice", () => {
    // Symptom: one of two requests is never answered, and its slot is never free again.
    // Sequence: a caller sends a second request under the identity of one that waits for a slot.
    // Cause: slots that are counted by an identity which callers choose.
    it("get an answer to each", async () => {
      const answers = await Promise.all(
        Array.from(
          { length: 40 },
          (_, index) =>
            request(`http://${hosts[0].data}/quotes/same`, {
              headers: {
                "bamboolink-request-id": index < 20 ? `own-${index}` : "same",
              },
            }),
        ),
      );
      const codes = answers.map(({ statusCode }) => statusCode);
      expect(codes).to.deep.equal(new Array(40).fill(200));
      await Promise.all(answers.map(({ body }) => body.dump()));
    });
  });

  describe("bad input", () => {
    const call = (path, options = {}) =>
      request(`http://${hosts[0].data}${path}`, options);

    it("is refused with what was expected, and nothing is run", async () => {
      const cases = [
        [404, await call("/nowhere")],
        [400, await call("/lots")],
        [400, await call("/lots?part=a&part=b")],
        [
          400,
          await call("/orders/a", {
            method: "POST",
            headers: { "idempotency-key": "order-1" },
          }),
        ],
        [
          413,
          await call("/orders/a", {
            method: "POST",
            body: Buffer.alloc(17_000_000),
          }).catch(() => ({
            statusCode: 413,
            headers: { "bamboolink-outcome": "not_run" },
          })),
        ],
      ];
      cases.forEach(([status, response]) => {
        expect(response.statusCode).to.equal(status);
        expect(response.headers["bamboolink-outcome"]).to.equal("not_run");
      });
    });

    it("that is no HTTP, or has oversized headers, leaves the daemon up", async () => {
      await new Promise((resolve) => {
        const [address, port] = hosts[0].data.split(":");
        const socket = connect(Number(port), address);
        socket.on("error", () => undefined).on("close", resolve);
        socket.end("\u0000\u0001 nonsense\r\n\r\n");
        socket.resume();
      });
      const large = await call("/quotes/a", {
        headers: { x: "x".repeat(20_000) },
      });
      expect(large.statusCode).to.equal(431);
      expect((await call("/quotes/a")).statusCode).to.equal(200);
    });

    it("in an announcement is refused and the last good one stays", async () => {
      const url = `http://${hosts[0].admin}/bamboolink/v1/announcements`;
      const answers = await Promise.all(
        ['{"service":"x"}', "nonsense", `"${"x".repeat(20_000)}"`].map((body) =>
          request(url, { method: "POST", body })
        ),
      );
      answers.forEach(({ statusCode }) => expect(statusCode).to.equal(400));
      expect((await call("/quotes/a")).statusCode).to.equal(200);
    });

    it("in a flag ends the process with a line that names it", async () => {
      const wrong = await fleet.runTool("daemon", ["--data-port", "seven"]);
      expect(wrong.code).to.equal(2);
      expect(wrong.stderr).to.contain("--data-port (or BAMBOOLINK_DATA_PORT)");
    });
  });

  describe("a caller's resend of an order", () => {
    // Symptom: two lots are reserved for one order.
    // Sequence: the answer of an order is lost, the buyer sends it again.
    // Cause: a second run under one idempotency key.
    it("gets the first answer, also through another daemon", async () => {
      const time = Date.now().toString(16).padStart(12, "0");
      const key = `${time.slice(0, 8)}-${time.slice(8)}-7abc-8def-0123456789ab`;
      const send = (host, first) =>
        request(`http://${host.data}/orders/resent`, {
          method: "POST",
          body: "one lot",
          headers: {
            "idempotency-key": key,
            ...(first ? { "bamboolink-first-attempt": "1" } : {}),
          },
        });
      const first = await (await send(hosts[0], true)).body.json();
      const second = await (await send(hosts[7], false)).body.json();
      expect(second).to.deep.equal(first);
      const runs = (await readLedgers()).flatMap((ledger) => ledger.runs)
        .filter((entry) => entry.idempotencyKey === key);
      expect(runs).to.have.length(1);
    });
  });

  describe("a backend server that cuts its answer", () => {
    // Symptom: a buyer takes half a quote for a whole one.
    // Sequence: the backend server's connection ends in the middle of the body.
    // Cause: an entrance that ends its own answer cleanly then.
    it("never makes a short success", async () => {
      const owner = JSON.parse(
        (await operate("owner", "cut", "--service", "quote-desk", "--json"))
          .stdout,
      )[0];
      await setFaults(hostNamed(owner.host).backend, { cut_answers: 1 });
      const agent = new Agent();
      const outcome = await request(`http://${hosts[5].data}/quotes/cut`, {
        dispatcher: agent,
      })
        .then(async ({ body }) => {
          await body.text();
          return "whole";
        }, () => "cut").catch(() => "cut");
      await agent.destroy();
      expect(outcome).to.equal("cut");
    });
  });

  describe("operators who race", () => {
    function writeVariant(name, length) {
      const document = JSON.parse(readFileSync(example, "utf8"));
      document.services[0].queue = { length };
      const path = `${run}/${name}.json`;
      writeFileSync(path, JSON.stringify(document));
      return path;
    }

    it("get one winner, and the others learn of it", async () => {
      const files = [11, 12, 13].map((length) =>
        writeVariant(`race-${length}`, length)
      );
      const results = await Promise.all(
        files.map((file) => operate("config", "apply", file, "--expect", "1")),
      );
      expect(results.map(({ code }) => code).sort()).to.deep.equal([0, 3, 3]);
      results.filter(({ code }) => code === 3).forEach(({ stderr }) =>
        expect(stderr).to.match(/version 2 .*in force|changed/)
      );
    });

    it("are told the truth when the store's answer is lost", async () => {
      await setFaults(`127.0.0.1:${fleet.storePort}`, { lose_answers: 1 });
      const file = writeVariant("lost-answer", 14);
      const applied = await operate(
        "config",
        "apply",
        file,
        "--expect",
        "2",
        "--wait",
      );
      expect(applied.code, applied.stderr).to.equal(0);
      const shown = JSON.parse(
        (await operate("config", "show", "--json")).stdout,
      );
      expect(shown.version).to.equal(3);
      expect(shown.document.services[0].queue.length).to.equal(14);
    });
  });

  describe("a store that is down", () => {
    // Symptom: keys are not served although their owners live.
    // Sequence: the store goes down for longer than any lease.
    // Cause: owners whose right to serve hangs on the store.
    it("stops no owner, changes nothing, and says so to operators", async () => {
      await setFaults(`127.0.0.1:${fleet.storePort}`, { down: true });
      try {
        const report = await startLoad(hosts, { seconds: 4 });
        expectNothingBroken(report);
        expect(report.totals).to.deep.equal({ done: report.sent });
        const applied = await operate("config", "apply", example);
        expect(applied.code).to.equal(4);
      } finally {
        await setFaults(`127.0.0.1:${fleet.storePort}`, {});
      }
      await waitFor(() => isServing(12), "the fleet after the outage", 40_000);
    });
  });

  describe("a backend server that is replaced by one of another service", () => {
    // Symptom: orders reach a server that knows nothing of orders.
    // Sequence: another server announces itself to the same daemon, on the same port.
    // Cause: a session whose record says one thing and whose backend server is another.
    it("is handed nothing, and the keys move to the others", async () => {
      const host = hostNamed("archive-6");
      fleet.signal("backend-archive-6", "SIGKILL");
      await fleet.waitForExit("backend-archive-6");
      fleet.startBackend({ ...host, service: "order-book" });
      await waitFor(
        async () => {
          const daemons = await readDaemons();
          return daemons.find((each) => each.host === host.host)?.partitions ===
            0;
        },
        "the keys to move",
        30_000,
      );
      const runs = await request(`http://${host.backend}/standin/ledger`);
      expect(await runs.body.json()).to.deep.equal([]);
      fleet.signal("backend-archive-6", "SIGKILL");
      await fleet.waitForExit("backend-archive-6");
      fleet.startBackend(host);
      await waitFor(() => isServing(12), "the return of the right one", 40_000);
    });
  });

  describe("a daemon that drains", () => {
    // Symptom: requests fail while a host is replaced.
    // Sequence: SIGTERM under load, then a new process on the same host.
    // Cause: ports that close before keys have moved and requests have finished.
    it("cuts and refuses nothing", async () => {
      const leaving = hostNamed("order-2");
      const stays = hosts.filter((host) => host !== leaving);
      const load = startLoad(stays);
      await sleep(1_000);
      fleet.signal("daemon-order-2", "SIGTERM");
      await fleet.waitForExit("daemon-order-2");
      fleet.startDaemon(leaving);
      const report = await load;
      expectNothingBroken(report);
      expect(report.totals).to.deep.equal({ done: report.sent });
      await waitFor(() => isServing(12), "the fleet after the restart", 60_000);
    });
  });

  describe("a daemon that drains under a caller with a kept connection", () => {
    // Symptom: of 884 requests during a drain one ends as "may have run", in whole runs beside other load.
    // Sequence: the leaving daemon's keys are gone, and it closes its idle connections; another daemon that has
    // not heard of the new owner yet sends a request on one of them in the same moment.
    // Cause: connections were closed without a word, so that requests could cross the close.
    it("answers every request, and says on which answer the connection ends", async () => {
      const leaving = hostNamed("order-3");
      const { socket, ask } = await openKept(leaving.data);
      expect((await ask()).status).to.equal(200);
      fleet.signal("daemon-order-3", "SIGTERM");
      const answers = [];
      while (!answers.at(-1)?.isLast) {
        answers.push(await ask());
        await sleep(10);
      }
      socket.destroy();
      expect(answers.map(({ status }) => status)).to.not.include(0);
      await fleet.waitForExit("daemon-order-3");
      fleet.startDaemon(leaving);
      await waitFor(() => isServing(12), "the fleet after the restart", 60_000);
    });
  });

  describe("a daemon that freezes and comes back", () => {
    // Symptom: two backend servers run requests for one key.
    // Sequence: the owner's daemon is stopped for longer than its promises, others take over, it goes
    // on as if nothing had happened.
    // Cause: a right to serve that is not looked at again at the moment of serving.
    it("serves nothing as an old owner, and rejoins by itself", async () => {
      const stays = hosts.filter(({ host }) => host !== "order-1");
      const before = (await readDaemons()).find(({ host }) =>
        host === "order-1"
      );
      const load = startLoad(stays, { seconds: 8 });
      await sleep(1_000);
      fleet.signal("daemon-order-1", "SIGSTOP");
      await waitFor(
        async () => {
          const daemons = await readDaemons();
          const old = daemons.find(({ session }) => session === before.session);
          return old === undefined || old.partitions === 0;
        },
        "the takeover",
        30_000,
      );
      fleet.signal("daemon-order-1", "SIGCONT");
      expectNothingBroken(await load);
      await waitFor(() => isServing(12), "the return", 60_000);
      const after = (await readDaemons()).find(({ host }) =>
        host === "order-1"
      );
      expect(after.session).not.to.equal(before.session);
      expectOneServerForEachToken(await readLedgers());
    });
  });

  describe("hosts that are lost together", () => {
    // Symptom: keys of a lost zone stay without an owner, or an order runs twice.
    // Sequence: four hosts of one availability zone are killed at once, the planner perhaps with them.
    // Cause: takeovers that wait for the dead, or that don't wait for the living.
    it("have their keys served by others, and nothing is doubled or lost", async () => {
      const zone = hosts.filter(({ zone }) => zone === "casablanca-3");
      const stays = hosts.filter((host) => !zone.includes(host));
      const load = startLoad(stays, { seconds: 8, ledgers: stays });
      await sleep(1_000);
      zone.forEach(({ host }) => {
        fleet.signal(`daemon-${host}`, "SIGKILL");
        fleet.signal(`backend-${host}`, "SIGKILL");
      });
      await waitFor(() => isServing(8), "the takeover", 30_000);
      const report = await load;
      // Ledgers of the killed servers are gone, so only what the living ones show is compared.
      expect(report.doubled + report.falselyNotRun).to.equal(0);
      expect(report.totals.crossed ?? 0).to.equal(0);
      const probe = await startLoad(stays, { seconds: 2, ledgers: stays });
      expectNothingBroken(probe);
      expect(probe.totals).to.deep.equal({ done: probe.sent });
    });
  });
});
