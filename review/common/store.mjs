// Stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
import { createServer } from "node:http";

const PAGE = 500;

export class Store {
  items = new Map();
  history = [];
  revision = 100;
  waiters = new Set();
  leases = new Map();
  lastLease = 0;
  servers = [];
  sockets = new Set();
  /**
   * Set by a case: how many milliseconds later a conditional write is executed, without an answer, if its condition
   * still holds then; undefined for a write that is done and answered at once. Gets the local address and the body.
   */
  late = () => undefined;
  /** Set by a case: called with the status of a late write: 200, or 412 where its condition no longer held. */
  onLate = () => undefined;
  /** Set by a case: called with each write that has been done. */
  onWrite = () => undefined;
  /** Set by a case: returns "silent", "refuse" or undefined for a call; gets the local address of the socket. */
  fault = () => undefined;

  async listen(host, port) {
    const server = createServer((req, res) => this.#serve(req, res));
    server.keepAliveTimeout = 60_000;
    server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
    this.servers.push(server);
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
  }

  close() {
    this.servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /** A write of the operator; its return is the ack. */
  write(key, text) {
    this.#put({ key, value: Buffer.from(text).toString("base64"), lease: 0 });
    this.#wake();
  }

  read(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.value, "base64").toString();
  }

  #put({ key, value, lease }) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease };
    this.items.set(key, item);
    this.history.push(item);
  }

  #delete(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.history.push({ key, revision: this.revision, tombstone: true });
    }
  }

  #wake() {
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((wake) => wake());
  }

  async #serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const fault = this.fault(req.socket.localAddress);
    if (fault === "silent") return;
    if (fault === "refuse") {
      res.writeHead(503, { "content-length": 0 }).end();
      return;
    }
    const lateMs = req.method === "POST" && req.url === "/-/kv-txn"
      ? this.late(
        req.socket.localAddress,
        JSON.parse(Buffer.concat(chunks).toString()),
      )
      : undefined;
    if (lateMs !== undefined) {
      setTimeout(
        () =>
          void this.#handle(
            "POST",
            new URL(req.url, "http://store"),
            Buffer.concat(chunks).toString(),
          ).then(([status]) => this.onLate(status)),
        lateMs,
      );
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, 4));
    const url = new URL(req.url, "http://store");
    const body = Buffer.concat(chunks).toString();
    const [status, value] = await this.#handle(req.method, url, body);
    const text = JSON.stringify(value);
    res.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    res.end(text);
  }

  async #handle(method, url, body) {
    const query = url.searchParams;
    const path = url.pathname;
    if (method === "GET" && path === "/-/kv-key") {
      const item = this.items.get(query.get("key"));
      return item
        ? [200, { ...item, as_of: this.revision }]
        : [404, { as_of: this.revision }];
    }
    if (method === "GET" && path === "/-/kv-range") {
      const prefix = query.get("prefix") ?? "";
      const after = query.get("after") ?? "";
      const all = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return [200, {
        items: all.slice(0, PAGE),
        has_more: all.length > PAGE,
        as_of: this.revision,
      }];
    }
    if (method === "GET" && path === "/-/kv-watch") {
      const prefix = query.get("prefix") ?? "";
      const after = Number(query.get("after"));
      const endsAt = Date.now() +
        Math.min(30_000, Number(query.get("wait_ms")));
      const find = () =>
        this.history.filter((e) =>
          e.revision > after && e.key.startsWith(prefix)
        );
      while (find().length === 0 && Date.now() < endsAt) {
        await new Promise((resolve) => {
          const timer = setTimeout(resolve, endsAt - Date.now());
          this.waiters.add(() => {
            clearTimeout(timer);
            resolve();
          });
        });
      }
      return [200, { events: find(), as_of: this.revision }];
    }
    if (method === "POST" && path === "/-/kv-txn") {
      const { expected_rev = [], puts = [], deletes = [] } = JSON.parse(body);
      if (
        [...puts.map(({ key }) => key), ...deletes]
          .some((key) => key.startsWith("op/") || key.startsWith("servers/"))
      ) {
        return [403, {}];
      }
      const holds = expected_rev.every(({ key, revision }) =>
        (this.items.get(key)?.revision ?? 0) === revision
      );
      if (!holds) {
        return [412, {
          items: expected_rev.flatMap(({ key }) => this.items.get(key) ?? []),
        }];
      }
      puts.forEach(({ key, value, lease = 0 }) =>
        this.#put({ key, value, lease })
      );
      deletes.forEach((key) => this.#delete(key));
      this.onWrite(puts);
      this.#wake();
      return [200, { revision: this.revision }];
    }
    if (method === "POST" && path === "/-/kv-lease") {
      this.lastLease += 1;
      return [200, { lease: this.lastLease, ttl_ms: JSON.parse(body).ttl_ms }];
    }
    if (path.startsWith("/-/kv-keep/") || path.startsWith("/-/kv-lease-end/")) {
      return [200, {}];
    }
    return [404, {}];
  }
}
