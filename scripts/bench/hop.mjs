/**
 * Measures the CPU time of one hop between two daemons by protocol, in microseconds per request on both sides.
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

/** Measures all variants and prints a table. */
export async function run() {
  const server = fork(
    fileURLToPath(new URL("./hop_server.mjs", import.meta.url)),
  );
  const [http1Port, http2Port, connectPort] = await new Promise((resolve) =>
    server.once("message", resolve)
  );
  const variants = createVariants({ http1Port, http2Port, connectPort });
  console.log(
    "| hop | client us | server us | both us | requests a second, one caller thread |",
  );
  console.log("| --- | ---: | ---: | ---: | ---: |");
  for (const [name, variant] of Object.entries(variants)) {
    await sendConcurrently(variant.send, REQUESTS / 4);
    const before = await readCpuTimes(http1Port);
    const startedMs = performance.now();
    await sendConcurrently(variant.send, REQUESTS);
    const seconds = (performance.now() - startedMs) / 1_000;
    const after = await readCpuTimes(http1Port);
    const [clientUs, serverUs] = after.map((value, side) =>
      (value - before[side]) / REQUESTS
    );
    const rate = (REQUESTS / seconds).toFixed(0);
    console.log(
      `| ${name} | ${clientUs.toFixed(0)} | ${serverUs.toFixed(0)} | ${
        (clientUs + serverUs).toFixed(0)
      } | ${rate} |`,
    );
    await variant.close();
  }
  server.kill();
  return 0;
}

function createVariants({ http1Port, http2Port, connectPort }) {
  const headers = {
    "bamboolink-request-id": "8a5ab08f-0eab-492d-bba0-7386d677a90f",
    "bamboolink-deadline-ms": "1999",
  };
  const pool = new Pool(`http://127.0.0.1:${http1Port}`, {
    connections: 64,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const session = connectHttp2(`http://127.0.0.1:${http2Port}`);
  const baseUrl = `http://127.0.0.1:${connectPort}`;
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
      send: createStreamSender(client),
      close: () => manager.abort(),
    },
  };
}

/** Returns a function that sends a message on one long-lived stream and waits for the response with its number. */
function createStreamSender(client) {
  const outgoing = new PassThrough({ objectMode: true });
  const pending = new Map();
  let number = 0n;
  const readResponses = async () => {
    for await (const response of client.renew(outgoing)) {
      pending.get(response.number)?.();
      pending.delete(response.number);
    }
  };
  readResponses().catch(() => undefined);
  return () =>
    new Promise((resolve) => {
      number += 1n;
      pending.set(number, resolve);
      outgoing.write({ session: "a", witness: "b", number });
    });
}

async function sendConcurrently(send, count) {
  let remaining = count;
  const worker = async () => {
    while (remaining > 0) {
      remaining -= 1;
      await send();
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
}

async function readCpuTimes(port) {
  const { user, system } = process.cpuUsage();
  const response = await fetch(`http://127.0.0.1:${port}/cpu`);
  return [user + system, Number(await response.text())];
}
