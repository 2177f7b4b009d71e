/** See claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. */
import { writeFileSync } from "node:fs";
import { connect } from "node:net";
import { randomBytes } from "node:crypto";
import { Fleet, operatorDocument, sleep } from "../common-2/fleet.mjs";
import { digest, Upstream } from "../common-2/upstream.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
/** The largest answer of the sites' downloads. */
const ANSWER_BYTES = 540_000;
const TIME_BUDGET_MS = 2_500;
/**
 * How many downloads each requester asks for on its connection. The system takes in some of the answers (about 4 MB on a
 * loopback connection), so for one of these numbers the last answer is in part still in the process.
 */
const REQUEST_COUNTS = [8, 9, 7, 10, 6, 11, 5, 12, 4];

const record = [];
const startedAtMs = Date.now();
const note = (text) =>
  record.push(`${((Date.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`);

/**
 * A requester that sends all its requests at once, pauses when the first bytes of the first answer are there, and reads
 * on when `resume` resolves. What it concludes is what RFC 9112 (sections 6.3 and 8) says of an answer's end.
 */
function readSlowly(fleet, host, count, resume) {
  const requests = Array.from({ length: count }, (_, index) => ({
    id: randomBytes(8).toString("hex"),
    path: `/proof/${index === count - 1 ? "without" : "with"}-length/${index}`,
  }));
  return new Promise((resolve) => {
    const socket = connect(fleet.ports.outbound, host.ip);
    const chunks = [];
    let end = "open";
    socket.on("connect", () =>
      socket.write(
        requests.map(({ id, path }) =>
          `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: ${TIME_BUDGET_MS}\r\n\r\n`
        ).join(""),
      ));
    socket.once("data", () => {
      socket.pause();
      void resume.then(() => socket.resume());
    });
    socket.on("data", (chunk) => chunks.push(chunk));
    socket.on("end", () => {
      end = "end of the connection";
    });
    socket.on("error", ({ code }) => {
      end = `connection error ${code}`;
    });
    socket.on(
      "close",
      () => resolve(parseAnswers(requests, Buffer.concat(chunks), end)),
    );
    setTimeout(() => socket.destroy(), 8_000).unref();
  });
}

function parseAnswers(requests, bytes, end) {
  let rest = bytes;
  return requests.map(({ id, path }) => {
    const headEnd = rest.indexOf("\r\n\r\n");
    if (headEnd < 0) {
      return { id, path, status: 0, received: 0, looksComplete: false, end };
    }
    const head = rest.subarray(0, headEnd).toString("latin1");
    const body = rest.subarray(headEnd + 4);
    const length = /^content-length: *(\d+)/im.exec(head)?.[1];
    const isUnframed = length === undefined &&
      !/^transfer-encoding:/im.test(head);
    const received = isUnframed
      ? body.length
      : Math.min(body.length, Number(length));
    rest = body.subarray(received);
    return {
      id,
      path,
      status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0),
      signature: /^x-server-signature: *(.*)$/im.exec(head)?.[1],
      isUnframed,
      received,
      end,
      looksComplete: isUnframed
        ? end === "end of the connection"
        : received === Number(length),
    };
  });
}

async function main() {
  const fleet = await Fleet.create(["proofs", "proofs", "counter"]);
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
    fleet.hosts.forEach((host) => {
      const upstream = new Upstream({
        host: host.ip,
        port: fleet.ports.app,
        control: fleet.address(host, "control"),
        service: host.service,
        zone: host.zone,
        heartbeatMs: fleet.heartbeatMs,
        slots: 12,
        workMs: 10,
      });
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
    const host = fleet.hosts.at(-1);
    const broken = [];
    const totals = { answers: 0, whole: 0, cutAndLooksCut: 0, notServed: 0 };
    // One requester at a time, so that none waits for another's downloads.
    for (const count of REQUEST_COUNTS) {
      let resumeAll;
      const resume = new Promise((resolve) => {
        resumeAll = resolve;
      });
      const reader = readSlowly(fleet, host, count, resume);
      await sleep(1_000);
      if (TROUBLE) {
        host.router.kill("SIGKILL");
        note(`SIGKILL to the daemon of ${host.name}, ${count} downloads`);
        await sleep(100);
      }
      resumeAll();
      const answers = await reader;
      answers.forEach((answer) => {
        record.push(JSON.stringify(answer));
        const isWhole = answer.received === whole.length;
        const isServed = answer.status === 200 &&
          answer.signature !== undefined;
        totals.answers += 1;
        totals.whole += isServed && isWhole ? 1 : 0;
        totals.notServed += isServed ? 0 : 1;
        totals.cutAndLooksCut += isServed && !isWhole && !answer.looksComplete
          ? 1
          : 0;
        if (isServed && !isWhole && answer.looksComplete) {
          broken.push(`${answer.path} of ${count}: ${answer.received}`);
        }
      });
      if (TROUBLE) {
        // The disruption strikes once: the other numbers are tried only if this one had no answer cut at its end.
        if (broken.length > 0) {
          break;
        }
        fleet.startRouter(host);
        if (!await fleet.awaitReady()) {
          return 2;
        }
        await sleep(3_500);
      }
    }
    if (!TROUBLE && totals.whole < totals.answers) {
      return 2;
    }
    const summary = {
      trouble: TROUBLE,
      wholeBytes: whole.length,
      ...totals,
      cutButLooksComplete: broken,
    };
    record.push(JSON.stringify(summary, undefined, 2));
    console.log(JSON.stringify(summary));
    return broken.length > 0 ? 1 : 0;
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
