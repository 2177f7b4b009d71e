/** A stand-in for the platform's metadata store, as PROTOCOL.md describes it: records in memory, linearizable. */
import { createServer } from "node:http";

export class Store {
  items = new Map();
  history = [];
  revision = 1;
  waiting = new Set();
  /** Test hook: returns "drop" for a call that gets no response; called with the call's address, path and body. */
  onCall = () => undefined;

  async listen(host, port) {
    const server = createServer((incoming, response) => {
      const chunks = [];
      incoming.on("data", (chunk) => chunks.push(chunk));
      incoming.on(
        "end",
        () => this.serve(incoming, response, Buffer.concat(chunks).toString()),
      );
    });
    await new Promise((resolve) => server.listen(port, host, resolve));
    this.server = server;
  }

  read(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.value, "base64").toString();
  }

  /** Writes a record as the operator does. */
  write(key, text) {
    this.put(key, Buffer.from(text).toString("base64"));
    this.wake();
  }

  put(key, value) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease: 0 };
    this.items.set(key, item);
    this.history.push(item);
  }

  wake() {
    const { waiting } = this;
    this.waiting = new Set();
    waiting.forEach((callback) => callback());
  }

  serve(incoming, response, body) {
    const url = new URL(incoming.url, "http://store");
    const answer = (status, value) => {
      const text = JSON.stringify(value ?? {});
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      response.end(text);
    };
    const query = url.searchParams;
    const { method } = incoming;
    if (method === "GET" && url.pathname === "/-/kv-key") {
      const item = this.items.get(query.get("key"));
      return item
        ? answer(200, { ...item, as_of: this.revision })
        : answer(404);
    }
    if (method === "GET" && url.pathname === "/-/kv-range") {
      const prefix = query.get("prefix") ?? "";
      const after = query.get("after") ?? "";
      const items = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => left.key < right.key ? -1 : 1);
      return answer(200, {
        items: items.slice(0, 500),
        has_more: items.length > 500,
        as_of: this.revision,
      });
    }
    if (method === "GET" && url.pathname === "/-/kv-watch") {
      return this.watch(query, answer, response);
    }
    if (method === "POST" && url.pathname === "/-/kv-txn") {
      return this.transact(JSON.parse(body), answer);
    }
    return answer(404);
  }

  watch(query, answer, response) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const find = () =>
      this.history.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(check);
      if (!response.destroyed) {
        answer(200, { events: find(), as_of: this.revision });
      }
    };
    const check = () => find().length > 0 ? finish() : this.waiting.add(check);
    const timer = setTimeout(finish, Number(query.get("wait_ms")));
    check();
  }

  transact({ expected_rev = [], puts = [], deletes = [] }, answer) {
    const revisionOf = (key) => this.items.get(key)?.revision ?? 0;
    if (
      expected_rev.some(({ key, revision }) => revisionOf(key) !== revision)
    ) {
      const items = expected_rev.flatMap(({ key }) =>
        this.items.get(key) ?? []
      );
      return answer(412, { items });
    }
    puts.forEach(({ key, value }) => this.put(key, value));
    deletes.filter((key) => this.items.delete(key)).forEach((key) => {
      this.revision += 1;
      this.history.push({ key, revision: this.revision, tombstone: true });
    });
    answer(200, { revision: this.revision });
    this.wake();
  }

  close() {
    this.server?.closeAllConnections();
    this.server?.close();
  }
}
