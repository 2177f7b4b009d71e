/**
 * Determines which incarnation of a backend server listens at an address.
 *
 * @module
 */
import type { ProbeResult } from "@bamboolink/keyspace";
import { Cancellation } from "../attempts/cancellation.ts";
import { monotonicMs } from "../clock.ts";
import { Connection } from "./exchange.ts";
import { ResponseMemory } from "./response_memory.ts";
import type { BackendProtocol } from "../ports/backend_protocol.ts";

/** How long the backend server may take to respond to the health check, in milliseconds. */
const PROBE_TIMEOUT_MS = 400;
/** Maximum accepted body of its response, in bytes. */
const MAX_BODY_BYTES = 65_536;

/**
 * Sends a health check on a separate connection.
 *
 * @returns the incarnation that responded, or whether the connection was refused; `silent` if there was no usable
 *   response before the timeout.
 */
export async function probeBackend(
  address: string,
  options: { protocol: BackendProtocol; healthPath: string },
): Promise<ProbeResult> {
  const memory = ResponseMemory.createForSmall(MAX_BODY_BYTES);
  const connection = Connection.create(address, memory);
  const result = await connection.exchange({
    method: "GET",
    target: options.healthPath,
    headers: ["host", address],
    body: undefined,
  }, {
    cancellation: Cancellation.createWithTimeout(PROBE_TIMEOUT_MS),
    nowMs: monotonicMs,
  });
  void connection.destroy();
  if (result.kind === "answer") {
    const incarnation = options.protocol.readIncarnation(result);
    return incarnation === undefined
      ? { kind: "silent" }
      : { kind: "answered", isReady: result.status === 200, ...incarnation };
  }
  const isRefused = result.kind === "unsent" && result.isRefused;
  return { kind: isRefused ? "refused" : "silent" };
}
