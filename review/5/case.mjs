/** See claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. */
import { writeFileSync } from "node:fs";
import { connect } from "node:net";
import { randomBytes } from "node:crypto";
import { Fleet, operatorDocument, sleep } from "../common-2/fleet.mjs";
import { digest, Upstream } from "../common-2/upstream.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
/** More than the system buffers of a loopback connection take in (about 4 MB here). */
const ANSWER_BYTES = 8_000_000;
const TIME_BUDGET_MS = 2_500;
const READERS = 3;

const record = [];
const startedAtMs = Date.now();
const note = (text) =>
  record.push(`${((Date.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`);

/**
 * A requester that reads the first bytes of its answer, pauses, and reads the rest when `resume` resolves. What it
 * concludes is what RFC 9112, section 8, says of an answer's end.
 */
function readSlowly(fleet, host, path, resume) {
  const id = randomBytes(8).toString("hex");
  return new Promise((resolve) => {
    const socket = connect(fleet.ports.outbound, host.ip);
    const chunks = [];
    let end = "open";
    socket.on("connect", () =>
      socket.write(
        `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: ${TIME_BUDGET_MS}\r\n\r\n`,
      ));
    socket.once("data", () => {
      socket.pause();
      void resume.then(() => socket.resume());
    });
    socket.on("data", (chunk) => {
      chunks.push(chunk);
      const bytes = chunks.reduce((sum, { length }) => sum + length, 0);
      if (path.includes("/with-length/") && bytes > ANSWER_BYTES) {
        // A kept connection stays open after its answer.
        socket.end();
      }
    });
    socket.on("end", () => {
      end = "end of the connection";
    });
    socket.on("error", ({ code }) => {
      end = `connection error ${code}`;
    });
    socket.on("close", () => {
      const bytes = Buffer.concat(chunks);
      const headEnd = bytes.indexOf("\r\n\r\n");
      const head = bytes.subarray(0, headEnd).toString("latin1");
      const length = /^content-length: *(\d+)/im.exec(head)?.[1];
      const isChunked = /^transfer-encoding:/im.test(head);
      const received = headEnd < 0 ? 0 : bytes.length - headEnd - 4;
      const isUnframed = length === undefined && !isChunked;
      const looksComplete = isUnframed
        ? end === "end of the connection"
        : !isChunked && received === Number(length);
      resolve({
        id,
        path,
        status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0),
        signature: /^x-server-signature: *(.*)$/im.exec(head)?.[1],
        isUnframed,
        received,
        end,
        looksComplete,
      });
    });
    setTimeout(() => socket.destroy(), 20_000).unref();
  });
}

async function main() {
  const fleet = await Fleet.create(["proofs", "counter"]);
  const upstreams = [];
  try {
    fleet.store.write(
      "op/config",
      operatorDocument(1, {
        routes: [
          ["proof", "/proof/", "download", "proofs", 2_500, 600, 2, 2],
          ["receipt", "/receipt/", "safe", "counter", 1_200, 300, 2, 1],
        ],
        services: [["proofs", false], ["counter", false]],
      }),
    );
    const whole = randomBytes(ANSWER_BYTES / 2).toString("hex");
    const ran = [];
    fleet.hosts.forEach((host) => {
      const upstream = new Upstream({
        host: host.ip,
        port: fleet.ports.app,
        control: fleet.address(host, "control"),
        service: host.service,
        zone: host.zone,
        heartbeatMs: fleet.heartbeatMs,
        workMs: 50,
      });
      upstream.onArrival = ({ id, verdict }) => ran.push({ id, verdict });
      upstream.answer = (incoming, response) => {
        if (!incoming.url.startsWith("/proof/")) {
          return false;
        }
        const headers = {
          "x-attempt-id": incoming.headers["x-attempt-id"],
          "x-server-signature": `${upstream.instance}.${whole.length}.${
            digest(whole)
          }`,
        };
        if (incoming.url.startsWith("/proof/with-length/")) {
          response.writeHead(200, {
            ...headers,
            "content-length": whole.length,
          });
        } else {
          response.useChunkedEncodingByDefault = false;
          response.shouldKeepAlive = false;
          response.writeHead(200, { ...headers, connection: "close" });
        }
        response.end(whole);
        return true;
      };
      upstreams.push(upstream);
      fleet.startRouter(host);
    });
    await Promise.all(upstreams.map((upstream) => upstream.start()));
    if (!await fleet.awaitReady()) {
      return 2;
    }
    await sleep(5_000);
    const [, host] = fleet.hosts;
    let resumeAll;
    const resume = new Promise((resolve) => {
      resumeAll = resolve;
    });
    const paths = [
      ...Array.from({ length: READERS }, (_, n) => `/proof/without/${n}`),
      "/proof/with-length/0",
    ];
    note(
      `${paths.length} requesters on ${host.name} ask for ${whole.length} bytes each`,
    );
    const readers = paths.map((path) => readSlowly(fleet, host, path, resume));
    await sleep(1_000);
    if (TROUBLE) {
      host.router.kill("SIGKILL");
      note(`SIGKILL to the daemon of ${host.name}`);
      await sleep(100);
    }
    resumeAll();
    const answers = await Promise.all(readers);
    answers.forEach((answer) => record.push(JSON.stringify(answer)));
    note(`run by the upstream: ${ran.map(({ verdict }) => verdict).join(" ")}`);
    const isWhole = ({ received }) => received === whole.length;
    if (!TROUBLE && !answers.every(isWhole)) {
      return 2;
    }
    const cut = answers.filter((answer) =>
      answer.status === 200 && answer.signature !== undefined &&
      answer.looksComplete && !isWhole(answer)
    );
    const summary = {
      trouble: TROUBLE,
      wholeBytes: whole.length,
      answers: answers.length,
      whole: answers.filter(isWhole).length,
      cutButLooksComplete: cut.map(({ path, received }) =>
        `${path}: ${received}`
      ),
      cutAndLooksCut: answers.filter((answer) => !answer.looksComplete).map((
        { path, received, end },
      ) => `${path}: ${received}, ${end}`),
    };
    record.push(JSON.stringify(summary, undefined, 2));
    console.log(JSON.stringify(summary));
    return cut.length > 0 ? 1 : 0;
  } finally {
    upstreams.forEach((upstream) => upstream.end());
    await fleet.close();
  }
}

const status = await main().catch((cause) => {
  record.push(`could not run: ${cause.stack}`);
  console.error(cause);
  return 2;
});
writeFileSync(new URL("record.txt", import.meta.url), `${record.join("\n")}\n`);
process.exit(status);
