/**
 * Processor time of one hop between two daemons, by protocol: microseconds per request on both sides.
 *
 * @module
 */
import { fork } from "node:child_process";
import { connect as connectHttp2 } from "node:http2";
import { PassThrough } from "node:stream";
import { fileURLToPath } from "node:url";
import { createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { Pool } from "undici";
import { Peer } from "../../packages/protocol/dist/mod.js";

const REQUESTS = 20_000;
const CONCURRENCY = 32;

/** Measures all variants and prints their table. */
export async function run() {
  const server = fork(
    fileURLToPath(new URL("./hop_server.mjs", import.meta.url)),
  );
  const [plain, raw, connect] = await new Promise((resolve) =>
    server.once("message", resolve)
  );
  const variants = createVariants({ plain, raw, connect });
  console.log(
    "| hop | client us | server us | both us | requests a second, one caller thread |",
  );
  console.log("| --- | ---: | ---: | ---: | ---: |");
  for (const [name, variant] of Object.entries(variants)) {
    await drive(variant.send, REQUESTS / 4);
    const before = await readCpu(plain);
    const startedMs = performance.now();
    await drive(variant.send, REQUESTS);
    const seconds = (performance.now() - startedMs) / 1_000;
    const after = await readCpu(plain);
    const [near, far] = after.map((value, side) =>
      (value - before[side]) / REQUESTS
    );
    const rate = (REQUESTS / seconds).toFixed(0);
    console.log(
      `| ${name} | ${near.toFixed(0)} | ${far.toFixed(0)} | ${
        (near + far).toFixed(0)
      } | ${rate} |`,
    );
    await variant.close();
  }
  server.kill();
  return 0;
}

function createVariants({ plain, raw, connect }) {
  const headers = {
    "bamboolink-request-id": "8a5ab08f-0eab-492d-bba0-7386d677a90f",
    "bamboolink-deadline-ms": "1999",
  };
  const pool = new Pool(`http://127.0.0.1:${plain}`, {
    connections: 64,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const session = connectHttp2(`http://127.0.0.1:${raw}`);
  const baseUrl = `http://127.0.0.1:${connect}`;
  const manager = new Http2SessionManager(baseUrl);
  const client = createClient(
    Peer,
    createConnectTransport({
      baseUrl,
      httpVersion: "2",
      useBinaryFormat: true,
      sessionManager: manager,
      acceptCompression: [],
    }),
  );
  return {
    "undici, HTTP/1.1 pool": {
      send: async () => {
        const response = await pool.request({
          path: "/quotes/BC547",
          method: "GET",
          headers,
        });
        await response.body.dump();
      },
      close: () => pool.close(),
    },
    "node:http2, one session": {
      send: () =>
        new Promise((resolve, reject) => {
          const stream = session.request({
            ":path": "/quotes/BC547",
            ...headers,
          });
          stream.on("error", reject).on("end", resolve).resume();
        }),
      close: () => session.close(),
    },
    "connect-es unary over HTTP/2": {
      send: () => client.exchange({ session: "a" }, { timeoutMs: 500 }),
      close: () => Promise.resolve(),
    },
    "connect-es, one message on an open stream": {
      send: openStream(client),
      close: () => manager.abort(),
    },
  };
}

/** Messages on one long-lived stream; answers are matched by number. */
function openStream(client) {
  const outgoing = new PassThrough({ objectMode: true });
  const waiting = new Map();
  let number = 0n;
  const read = async () => {
    for await (const answer of client.renew(outgoing)) {
      waiting.get(answer.number)?.();
      waiting.delete(answer.number);
    }
  };
  read().catch(() => undefined);
  return () =>
    new Promise((resolve) => {
      number += 1n;
      waiting.set(number, resolve);
      outgoing.write({ session: "a", witness: "b", number });
    });
}

async function drive(send, count) {
  let left = count;
  const worker = async () => {
    while (left > 0) {
      left -= 1;
      await send();
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
}

async function readCpu(port) {
  const { user, system } = process.cpuUsage();
  const response = await fetch(`http://127.0.0.1:${port}/cpu`);
  return [user + system, Number(await response.text())];
}
