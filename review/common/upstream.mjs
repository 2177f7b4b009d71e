// Stand-in for an application upstream (PROTOCOL.md, "Upstreams", "Service discovery", "Keys that upstreams hold").
import { createServer, request } from "node:http";
import { randomBytes } from "node:crypto";

const ACK_TIMEOUT_MS = 1_000;
const MAX_ACK_BYTES = 4_096;

export class Upstream {
  id = `i-${randomBytes(4).toString("hex")}`;
  sequence = 0;
  state = "ready";
  holds = []; // {from, to, fence}
  expiresAt = 0;
  freed = [];
  seen = []; // highest fence seen by range: {from, to, fence}
  running = new Set();
  queue = [];
  ended = false;
  acks = { accepted: 0, tooLarge: 0, failed: 0, largest: 0, rows: 0 };
  /** Set by a case: whether a request is rejected although there is room (`srv_grey`, how = shed). */
  sheds = () => false;
  /** Set by a case: whether an answer is followed by a second, late one (`garble`, how = extra late). */
  spoils = () => false;
  onRun = () => undefined;
  onHold = () => undefined;

  /** options: host, port, control, service, zone, slots, queue, workMs, beatMs, keyed, maxConnections, record */
  constructor(options) {
    this.o = { queue: 18, maxConnections: 130, workMs: () => 20, ...options };
    // An upstream serves one request at a time on a connection: the next is taken up after the answer to the one before.
    this.server = createServer({ keepAliveTimeout: 10_000 }, (req, res) => {
      const before = req.socket.turn ?? Promise.resolve();
      req.socket.turn = before.then(() => this.#serve(req, res)).then(() =>
        new Promise((resolve) => {
          if (res.writableFinished || res.destroyed) return resolve();
          res.once("finish", resolve);
          res.once("close", resolve);
        })
      );
    });
    this.sockets = new Set();
    this.server.on("connection", (socket) => {
      if (this.sockets.size >= this.o.maxConnections) {
        socket.resetAndDestroy();
        return;
      }
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
      socket.on("error", () => undefined);
    });
  }

  async start() {
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(this.o.port, this.o.host, resolve);
    });
    void this.#beats();
  }

  /** Sends DELETE and exits. */
  async leave() {
    clearTimeout(this.timer);
    await call({
      address: this.o.control,
      method: "DELETE",
      path: `/-/instances/${this.id}`,
      timeoutMs: ACK_TIMEOUT_MS,
    });
    while (this.running.size > 0) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    this.crash();
  }

  crash() {
    this.ended = true;
    clearTimeout(this.timer);
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  heldRows() {
    return Date.now() < this.expiresAt ? this.holds : [];
  }

  holdsKey(key) {
    return this.heldRows().find(({ from, to }) => key >= from && key <= to);
  }

  async #beats() {
    while (!this.ended) {
      const next = await this.beat();
      await new Promise((resolve) => {
        this.timer = setTimeout(resolve, next);
      });
    }
  }

  beatBody() {
    this.sequence += 1;
    const working = [...this.running].filter(({ row }) =>
      row && !this.heldRows().some((h) => h.from <= row.from && h.to >= row.to)
    ).map(({ key, row }) => ({ from: key, to: key, fence: row.fence }));
    return JSON.stringify({
      service: this.o.service,
      address: `${this.o.host}:${this.o.port}`,
      zone: this.o.zone,
      version: "v1",
      slots: this.o.slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      ...(this.o.keyed
        ? {
          holds: [...this.heldRows(), ...working].map((
            { from, to, fence },
          ) => [from, to, fence]),
          freed: this.freed,
        }
        : {}),
    });
  }

  /** Sends one ping; returns the time until the next. */
  async beat() {
    const sentAt = Date.now();
    const reported = this.freed.length;
    const body = this.beatBody();
    const answer = await call({
      address: this.o.control,
      method: "PUT",
      path: `/-/instances/${this.id}`,
      body,
      timeoutMs: ACK_TIMEOUT_MS,
    });
    if (this.ended) return 0;
    const isAck = answer !== undefined && answer.status >= 200 &&
      answer.status < 300;
    if (!isAck) {
      this.acks.failed += 1;
      return this.o.beatMs;
    }
    this.acks.largest = Math.max(this.acks.largest, answer.body.length);
    if (answer.body.length > MAX_ACK_BYTES) {
      this.acks.tooLarge += 1;
      return this.o.beatMs;
    }
    this.acks.accepted += 1;
    this.freed = this.freed.slice(reported);
    const ack = JSON.parse(answer.body.toString() || "{}");
    if (this.o.keyed && ack.holds !== undefined) this.#apply(ack, sentAt);
    return this.freed.length > 0 ? 80 : this.o.beatMs;
  }

  #apply({ holds, hold_ms }, sentAt) {
    const before = this.heldRows();
    const accepted = holds
      .map(([from, to, fence]) => ({ from, to, fence }))
      .filter((row) =>
        !this.seen.some((s) =>
          s.from <= row.to && s.to >= row.from && s.fence > row.fence
        )
      );
    this.acks.rows = accepted.length;
    accepted.forEach((row) => {
      if (
        !this.seen.some((s) =>
          s.from === row.from && s.to === row.to && s.fence === row.fence
        )
      ) {
        this.seen.push(row);
      }
    });
    this.holds = accepted;
    this.expiresAt = sentAt + Math.min(hold_ms, 10_000);
    before.flatMap((row) => gaps(row, accepted)).forEach(({ from, to }) =>
      this.freed.push([from, to, randomBytes(8).toString("hex")])
    );
    this.onHold(this);
  }

  async #serve(req, res) {
    const id = req.headers["x-attempt-id"];
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString();
    // A second answer that was held back arrives where the next answer is expected.
    if (req.socket.extra !== undefined) {
      req.socket.write(req.socket.extra);
      req.socket.extra = undefined;
    }
    const reply = (status, headers, text = "") => {
      if (res.destroyed) return;
      if (this.spoils(id)) {
        const lines = Object.entries({
          "x-attempt-id": id,
          ...headers,
          "content-length": Buffer.byteLength(text),
        });
        req.socket.extra = `HTTP/1.1 ${status} Again\r\n${
          lines.map(([k, v]) => `${k}: ${v}\r\n`).join("")
        }\r\n${text}`;
        this.o.record?.({
          what: "second answer held back",
          id,
          upstream: this.id,
          status,
        });
      }
      res.writeHead(status, {
        ...(id === undefined ? {} : { "x-attempt-id": id }),
        ...headers,
        "content-length": Buffer.byteLength(text),
      });
      res.end(text);
    };
    if (req.method === "GET" && req.url === this.o.healthPath) {
      reply(this.state === "ready" ? 200 : 503, { "x-instance-id": this.id });
      return;
    }
    if (id === undefined) return reply(400, { "x-not-executed": "1" });
    const expected = req.headers["x-expected-instance"];
    if (expected !== undefined && expected !== this.id) return reply(421, {});
    const key = req.headers["x-shard-key"] === undefined
      ? undefined
      : Number(req.headers["x-shard-key"]);
    const row = this.o.keyed ? this.holdsKey(key) : undefined;
    if (this.o.keyed && row === undefined) {
      return reply(421, { "x-not-executed": "1" });
    }
    const job = {
      id,
      key,
      row,
      req,
      res,
      reply,
      body,
      endsAt: Date.now() + Number(req.headers["x-deadline-ms"] ?? 5_000),
    };
    if (this.sheds(id)) {
      this.o.record?.({ what: "shed", id, upstream: this.id });
      return reply(503, { "x-not-executed": "1" });
    }
    if (this.running.size < this.o.slots) return this.#run(job);
    if (this.queue.length >= this.o.queue) {
      return reply(503, { "x-not-executed": "1" });
    }
    this.queue.push(job);
  }

  #run(job) {
    this.running.add(job);
    this.onRun(job, this);
    this.o.record?.({
      what: "run",
      id: job.id,
      upstream: this.id,
      service: this.o.service,
      key: job.key,
      method: job.req.method,
      path: job.req.url,
      caller: job.req.headers["x-caller-service"],
    });
    const end = (reply) => {
      clearTimeout(timer);
      job.res.off("close", gone);
      if (!this.running.delete(job)) return;
      reply?.();
      while (this.queue.length > 0 && this.running.size < this.o.slots) {
        const next = this.queue.shift();
        if (next.res.destroyed) continue;
        if (Date.now() >= next.endsAt) {
          next.reply(503, { "x-not-executed": "1" });
          continue;
        }
        this.#run(next);
      }
    };
    const gone = () => end();
    job.res.once("close", gone);
    const workMs = this.o.workMs(job);
    const leftMs = job.endsAt - Date.now();
    const timer = setTimeout(() => {
      const isLate = workMs > leftMs;
      const isLost = this.o.keyed && this.holdsKey(job.key) === undefined;
      const status = isLost ? 500 : isLate ? 504 : 200;
      end(() => this.answer(job, status));
    }, Math.min(workMs, leftMs));
  }

  answer(job, status) {
    job.reply(
      status,
      { "x-server-signature": `${this.id}.${job.id}` },
      `${this.id} ${job.id} ${job.body}`,
    );
  }
}

function gaps(row, kept) {
  let parts = [{ from: row.from, to: row.to }];
  kept.forEach((k) => {
    parts = parts.flatMap((p) => {
      if (k.to < p.from || k.from > p.to) return [p];
      return [
        ...(k.from > p.from ? [{ from: p.from, to: k.from - 1 }] : []),
        ...(k.to < p.to ? [{ from: k.to + 1, to: p.to }] : []),
      ];
    });
  });
  return parts;
}

/** One HTTP call on a new connection; undefined without a whole answer in time. */
export function call(
  {
    address,
    method = "GET",
    path,
    headers = {},
    body,
    timeoutMs,
    localAddress,
  },
) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const req = request({
      host,
      port: Number(port),
      method,
      path,
      localAddress,
      agent: false,
      headers: {
        ...(body === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        }),
        ...headers,
      },
    }, (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on(
        "end",
        () =>
          finish(
            res.complete
              ? {
                status: res.statusCode,
                headers: res.headers,
                body: Buffer.concat(chunks),
              }
              : undefined,
          ),
      );
      res.on("error", () => finish(undefined));
      res.on("aborted", () => finish(undefined));
    });
    const timer = setTimeout(() => {
      req.destroy();
      finish(undefined);
    }, timeoutMs);
    const finish = (value) => {
      clearTimeout(timer);
      resolve(value);
    };
    req.on("error", () => finish(undefined));
    req.end(body);
  });
}
