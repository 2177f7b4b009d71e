/**
 * Asks at a backend server's address who is there.
 *
 * @module
 */
import type { ProbeResult } from "@bamboolink/keyspace";
import { Cancellation } from "./cancellation.ts";
import { steadyMs } from "./clock.ts";
import { Connection } from "./exchange.ts";
import type { BackendProtocol } from "./ports/backend_protocol.ts";

/** How long the backend server may take to say which incarnation it is, in milliseconds. */
const PROBE_TIMEOUT_MS = 400;

/** Asks by a health check, on a connection of its own. */
export async function probeBackend(
  address: string,
  options: { protocol: BackendProtocol; healthPath: string },
): Promise<ProbeResult> {
  const connection = Connection.create(address);
  const result = await connection.exchange({
    method: "GET",
    target: options.healthPath,
    headers: ["host", address],
    body: undefined,
  }, {
    cancellation: Cancellation.createWithTimeout(PROBE_TIMEOUT_MS),
    nowMs: steadyMs,
  });
  void connection.destroy();
  if (result.kind === "answer") {
    const incarnation = options.protocol.readIncarnation(result);
    return incarnation === undefined
      ? { kind: "silent" }
      : { kind: "answered", ...incarnation };
  }
  const isRefused = result.kind === "unsent" && result.isRefused;
  return { kind: isRefused ? "refused" : "silent" };
}
