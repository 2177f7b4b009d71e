/** A stand-in for an application upstream, as PROTOCOL.md describes it. */
import { createServer, request } from "node:http";
import { createHash, randomBytes } from "node:crypto";

export function digest(bytes) {
  return createHash("sha256").update(bytes).digest("hex").slice(0, 16);
}

export class Upstream {
  instance = `i-${randomBytes(4).toString("hex")}`;
  sequence = 0;
  state = "ready";
  running = new Set();
  holds = [];
  freed = [];
  holdsUntilMs = 0;
  isEnded = false;
  pings = true;
  /** Called with each arrival: {id, key, verdict, atMs}. */
  onArrival = () => undefined;
  /** Called when a run ends: {id, isComplete}. */
  onRunEnd = () => undefined;
  /** Test hook: called with (incoming, response, body, upstream); returns true if it has answered. */
  answer = () => false;

  constructor(options) {
    Object.assign(this, { slots: 9, workMs: 60, isKeyed: false }, options);
  }

  async start() {
    this.server = createServer(
      { keepAliveTimeout: 10_000 },
      (...call) => void this.serve(...call),
    );
    await new Promise((resolve) =>
      this.server.listen(this.port, this.host, resolve)
    );
    this.loop();
  }

  async loop() {
    while (!this.isEnded && this.pings) {
      const before = this.freed.length;
      await this.ping();
      await new Promise((resolve) =>
        setTimeout(
          resolve,
          this.freed.length > 0 && before === 0 ? 80 : this.heartbeatMs,
        )
      );
    }
  }

  body() {
    this.sequence += 1;
    return JSON.stringify({
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      ...(this.isKeyed
        ? {
          holds: Date.now() < this.holdsUntilMs ? this.holds : [],
          freed: this.freed,
        }
        : {}),
    });
  }

  /** Sends a ping to `to` (its daemon's control address by default); an ack after a second is none. */
  async ping(to = this.control) {
    const sentAtMs = Date.now();
    const freedCount = this.freed.length;
    const acked = await this.notify("PUT", this.body(), { to });
    if (acked?.status !== 200) {
      return false;
    }
    this.freed = this.freed.slice(freedCount);
    const { holds, hold_ms } = JSON.parse(acked.text || "{}");
    if (this.isKeyed && holds !== undefined) {
      this.applyGrant(holds, sentAtMs + hold_ms);
    }
    return true;
  }

  applyGrant(holds, untilMs) {
    const held = Date.now() < this.holdsUntilMs ? this.holds : [];
    const rows = holds.map(([from, to, fence]) => [from, to, fence]);
    held.forEach(([from, to]) => {
      let next = from;
      rows.toSorted((left, right) => left[0] - right[0]).forEach((row) => {
        if (row[1] >= next && row[0] <= to) {
          if (row[0] > next) {
            this.freed.push([next, row[0] - 1, randomBytes(8).toString("hex")]);
          }
          next = row[1] + 1;
        }
      });
      if (next <= to) {
        this.freed.push([next, to, randomBytes(8).toString("hex")]);
      }
    });
    this.holds = rows;
    this.holdsUntilMs = untilMs;
  }

  notify(method, body, { to = this.control, timeoutMs = 1_000 } = {}) {
    const [host, port] = to.split(":");
    return new Promise((resolve) => {
      const call = request({
        host,
        port,
        method,
        path: `/-/instances/${this.instance}`,
        headers: {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        },
        agent: false,
      }, (response) => {
        let text = "";
        response.on("data", (chunk) => {
          text += chunk;
        });
        response.on(
          "end",
          () => resolve({ status: response.statusCode, text }),
        );
        response.on("error", () => resolve(undefined));
      });
      call.on("error", () => resolve(undefined));
      setTimeout(() => {
        resolve(undefined);
      }, timeoutMs);
      call.end(body);
    });
  }

  /** Says that it leaves; returns when that was acknowledged. */
  async depart() {
    const acked = await this.notify("DELETE", "");
    return acked?.status !== undefined && acked.status < 300;
  }

  async serve(incoming, response) {
    const chunks = [];
    incoming.on("error", () => undefined);
    response.on("error", () => undefined);
    for await (const chunk of incoming) {
      chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    const { headers } = incoming;
    const identity = { "x-instance-id": this.instance };
    if (incoming.url === "/healthz") {
      const status = this.state === "ready" ? 200 : 503;
      response.writeHead(status, identity).end();
      return;
    }
    const id = headers["x-attempt-id"] ?? "";
    const echo = { "x-attempt-id": id, ...identity };
    const refuse = (status) => {
      this.onArrival({ id, verdict: String(status), atMs: Date.now() });
      response.writeHead(status, { ...echo, "x-not-executed": "1" }).end();
    };
    const expected = headers["x-expected-instance"];
    if (expected !== undefined && expected !== this.instance) {
      this.onArrival({ id, verdict: "421", atMs: Date.now() });
      response.writeHead(421, echo).end();
      return;
    }
    const key = headers["x-shard-key"] === undefined
      ? undefined
      : Number(headers["x-shard-key"]);
    const isHeld = Date.now() < this.holdsUntilMs &&
      this.holds.some(([from, to]) => key >= from && key <= to);
    if (this.isKeyed && !isHeld) {
      return refuse(421);
    }
    if (this.running.size >= this.slots * 4) {
      return refuse(503);
    }
    this.running.add(id);
    this.onArrival({
      id,
      key,
      verdict: "run",
      atMs: Date.now(),
      url: incoming.url,
      method: incoming.method,
      callerService: headers["x-caller-service"],
      body: digest(body),
    });
    let isClosed = false;
    response.on("close", () => {
      isClosed = !response.writableFinished;
    });
    await new Promise((resolve) => setTimeout(resolve, this.workMs));
    this.running.delete(id);
    if (this.isEnded || isClosed) {
      this.onRunEnd({ id, isComplete: false, atMs: Date.now() });
      return;
    }
    this.onRunEnd({ id, isComplete: true, atMs: Date.now() });
    if (await this.answer(incoming, response, body, this)) {
      return;
    }
    const text = `answer to ${id}`;
    response.writeHead(200, {
      ...echo,
      "x-server-signature": `${this.instance}.${text.length}.${digest(text)}`,
      "content-length": text.length,
    });
    response.end(text);
  }

  /** Ends the process: connections close, runs are cut, holds are gone. */
  end() {
    this.isEnded = true;
    this.holds = [];
    this.server.close();
    this.server.closeAllConnections();
  }
}
