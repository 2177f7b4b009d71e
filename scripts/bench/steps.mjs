/**
 * Measures the CPU time of the steps of a request while the code is cold.
 *
 *     npm run bench -- steps http|ingress|refusal|exchange
 *
 * - `http`: the HTTP server of Node.js alone, which reads a request and writes a response;
 * - `ingress`: the same with the router's ingress, whose runner returns a response at once;
 * - `refusal`: the same with a runner that refuses the request;
 * - `exchange`: a request to a backend server, with its response;
 *
 * Callers and backend servers are another process, so that only the step itself counts. The times include those of
 * V8's threads. Each measurement needs a process of its own.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:http";
import { setFlagsFromString } from "node:v8";
import { z } from "zod";
import { Metrics } from "../../packages/metrics/dist/mod.js";
import { Logger } from "../../packages/logger/dist/mod.js";
import { PrefixRouter } from "../../packages/traffic/dist/mod.js";
import { Connection } from "../../packages/router/dist/backend/exchange.js";
import { Cancellation } from "../../packages/router/dist/attempts/cancellation.js";
import { Ingress } from "../../packages/router/dist/ingress/ingress.js";
import { LoopLag } from "../../packages/router/dist/loop_lag.js";
import { PlatformCallerProtocol } from "../../platform/dist/platform_caller_protocol.js";

/** Sizes of consecutive groups of requests; each is reported with its mean. */
const GROUPS = [1, 49, 150, 200, 400];
/** Time between two requests, in milliseconds: each finds an idle event loop, as most do. */
const INTERVAL_MS = 4;
const BODY = "x".repeat(600);

/** Sends requests one after the other, or responds to each with a fixed response. */
const PEER = `
const { connect, createServer } = require("node:net");
const { PORT, INTERVAL_MS, BODY } = process.env;
const REQUEST = "GET /plain/x HTTP/1.1\\r\\nhost: shop.example\\r\\nuser-agent: caller/1.0\\r\\naccept: */*\\r\\n" +
  "x-attempt-id: a-7\\r\\nx-deadline-ms: 2000\\r\\nconnection: keep-alive\\r\\n\\r\\n";
const RESPONSE = "HTTP/1.1 200 OK\\r\\ncontent-type: application/json\\r\\nx-attempt-id: a-7\\r\\nx-served-by: 10.0.0.1\\r\\n" +
  "x-server-load: 3,2,6,100\\r\\ncontent-length: " + BODY.length + "\\r\\nconnection: keep-alive\\r\\n\\r\\n" + BODY;
if (PORT === undefined) {
  const server = createServer((socket) => socket.setNoDelay(true).on("data", () => socket.write(RESPONSE)));
  server.listen(0, "127.0.0.1", () => console.log(server.address().port));
} else {
  const socket = connect(Number(PORT), "127.0.0.1").setNoDelay(true);
  const send = () => socket.write(REQUEST);
  socket.on("data", (bytes) => {
    if (bytes.includes("\\r\\n\\r\\n")) {
      console.log("done");
      setTimeout(send, Number(INTERVAL_MS));
    }
  });
  send();
}
process.stdin.on("end", () => process.exit()).resume();
`;

function startPeer(env) {
  const peer = spawn(process.execPath, ["-e", PEER], {
    env: { ...process.env, ...env, INTERVAL_MS: String(INTERVAL_MS), BODY },
    stdio: ["pipe", "pipe", "inherit"],
  });
  process.once("exit", () => peer.kill("SIGKILL"));
  return peer;
}

const ROUTE = {
  name: "route",
  host: "shop.example",
  prefix: "/plain/",
  idempotent: true,
  timeoutMs: 2_000,
  objectiveMs: 500,
  maximumAttempts: 2,
  rank: 1,
  targets: [{ service: "plain", weight: 1 }],
};

/** The outcome of a request that the ingress runs. */
const ANSWER = {
  kind: "answer",
  status: 200,
  headers: {
    "content-type": "application/json",
    "x-attempt-id": "a-7",
    "x-served-by": "10.0.0.1",
  },
  body: Buffer.from(BODY),
  isComplete: true,
};
const REFUSAL = { kind: "not_run", reason: "overloaded", waitMs: 100 };

function createIngressServer(outcome) {
  const configuration = {
    version: 1,
    inForce: {
      router: PrefixRouter.create([ROUTE]),
      services: new Map(),
      unreadable: { coversRequest: () => false, hidesService: () => false },
      configuration: { limits: { headerBytes: 16_384, bodyBytes: 1_000_000 } },
    },
  };
  const lag = LoopLag.create(50, () => performance.now());
  setInterval(() => lag.recordTick(), 50).unref();
  return Ingress.create({
    protocol: PlatformCallerProtocol.create(),
    logger: Logger.create("bench", { format: "json", level: "error" }),
    metrics: Metrics.create(),
    configuration,
    configurationChecker: { confirm: () => Promise.resolve(true) },
    runner: { run: () => Promise.resolve({ outcome, attempts: 1 }) },
    lag,
    random: Math.random,
    callerService: () => "desk",
  }).server;
}

/** Calls `measure` after each request that a caller in another process has sent to a server and seen answered. */
async function serve(server, measure) {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const peer = startPeer({ PORT: String(server.address().port) });
  let received = 0;
  await new Promise((resolve) =>
    server.on("request", (_incoming, response) =>
      response.once("close", () => {
        received += 1;
        if (measure(received)) {
          peer.stdin.end();
          resolve();
        }
      }))
  );
}

async function exchange(measure) {
  const peer = startPeer({});
  const [port] = await once(peer.stdout, "data");
  const connection = Connection.create(`127.0.0.1:${Number(port)}`);
  for (let count = 1;; count += 1) {
    await connection.exchange({
      method: "GET",
      target: "/plain/x",
      headers: [
        "host",
        "shop.example",
        "user-agent",
        "caller/1.0",
        "accept",
        "*/*",
      ],
      body: undefined,
    }, {
      cancellation: Cancellation.create(),
      nowMs: () => performance.now(),
    });
    if (measure(count)) {
      peer.stdin.end();
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
  }
}

const STEPS = {
  http: (measure) =>
    serve(
      createServer((_incoming, response) => response.end(ANSWER.body)),
      measure,
    ),
  ingress: (measure) => serve(createIngressServer(ANSWER), measure),
  refusal: (measure) => serve(createIngressServer(REFUSAL), measure),
  exchange,
};

/** CPU time of this process so far, in milliseconds. */
function readCpuMs() {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

/** Runs one step and prints the mean CPU time of each group of requests. */
export async function run([name]) {
  z.config({ jitless: true });
  setFlagsFromString("--interrupt-budget=270000");
  setFlagsFromString("--wasm-tier-up-filter=1000000");
  const marks = [readCpuMs()];
  const ends = GROUPS.map((_, index) =>
    GROUPS.slice(0, index + 1).reduce((sum, size) => sum + size, 0)
  );
  await STEPS[name]((count) => {
    if (ends.includes(count)) {
      marks.push(readCpuMs());
    }
    return count === ends.at(-1);
  });
  const means = GROUPS.map((size, index) =>
    `${size}: ${((marks[index + 1] - marks[index]) / size).toFixed(3)}`
  );
  console.log(`${name}, ms a request: ${means.join(", ")}`);
  process.exit(0);
}
