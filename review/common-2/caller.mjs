/** Requesters: each request has an id of its own, a new connection or a kept one, and one answer at most. */
import { Agent, request } from "node:http";
import { randomBytes } from "node:crypto";

export class Callers {
  /** All requests that were sent, by id. */
  sent = new Map();
  agents = new Map();

  constructor(fleet) {
    this.fleet = fleet;
  }

  /** Sends a request as a requester on the machine `host`; resolves with what is known of it at its end. */
  send(host, { method = "GET", path, body, deadlineMs = 1_000, key, keep }) {
    const id = randomBytes(8).toString("hex");
    const entry = { id, method, path, from: host.name, sentAtMs: Date.now() };
    this.sent.set(id, entry);
    if (keep && !this.agents.has(host)) {
      this.agents.set(host, new Agent({ keepAlive: true, maxSockets: 40 }));
    }
    return new Promise((resolve) => {
      const finish = (outcome) => {
        if (entry.endedAtMs === undefined) {
          Object.assign(entry, outcome, { endedAtMs: Date.now() });
          clearTimeout(timer);
          resolve(entry);
        }
      };
      const call = request({
        host: host.ip,
        port: this.fleet.ports.outbound,
        method,
        path,
        agent: keep ? this.agents.get(host) : false,
        headers: {
          host: "shop.example",
          "x-attempt-id": id,
          "x-deadline-ms": String(deadlineMs),
          ...(key === undefined ? {} : { "x-shard-key": String(key) }),
          ...(body === undefined
            ? {}
            : { "content-length": Buffer.byteLength(body) }),
        },
      }, (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("end", () =>
          finish({
            status: response.statusCode,
            isComplete: response.complete,
            signature: response.headers["x-server-signature"],
            answeredId: response.headers["x-attempt-id"],
            body: Buffer.concat(chunks).toString("latin1"),
          }));
        response.on("error", () => finish({ status: 0, error: "cut" }));
      });
      const timer = setTimeout(() => {
        finish({ status: 0, error: "no answer" });
        call.destroy();
      }, deadlineMs + 1_000);
      call.on(
        "error",
        (cause) => finish({ status: 0, error: cause.code ?? "cut" }),
      );
      call.end(body);
    });
  }

  close() {
    this.agents.forEach((agent) => agent.destroy());
  }
}
