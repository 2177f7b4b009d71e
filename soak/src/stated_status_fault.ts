/**
 * Faults in which a backend server states a limit, or that it is leaving, in its responses only, and checks that it
 * then gets no more requests than that allows.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetHost } from "@bamboolink/platform/testing";

/** Window in which requests to a limited server are counted, in milliseconds. */
const WINDOW_MS = 4_000;
/** Time within which all daemons must follow a limit, in milliseconds. */
const STABILITY_MS = 3_000;
/** Requests in one window beyond one and a half times the limit. */
const ALLOWED_EXTRA = 5;
/** Time within which a leaving server must get its last request, in milliseconds. */
const DRAIN_MS = 2_000;
/** Time within which the caller has the first response that states the leaving, in milliseconds. */
const RESPONSE_MS = 200;
/** How long a server that states its leaving runs on after its drain time, in milliseconds. */
const AFTER_DRAIN_MS = 2_000;

/** Whether the daemon beside a backend server was stopped or paused since a time in Unix milliseconds. */
type WasDisturbed = (sinceMs: number) => boolean;

/** How many faults that state a limit a host has now. */
const limitStatements = new WeakMap<FleetHost, number>();

function changeLimitStatements(host: FleetHost, change: 1 | -1): number {
  const count = (limitStatements.get(host) ?? 0) + change;
  limitStatements.set(host, count);
  return count;
}

/**
 * Makes a backend server state a limit, and none once the last of overlapping calls for its host has ended. These must
 * state the same limit.
 *
 * @param limit `perSecond`: in requests per second; `forMs`: how long it is stated beyond `STABILITY_MS`.
 * @returns a message for a limit that was exceeded.
 */
export async function stateLimit(
  host: FleetHost,
  limit: { perSecond: number; forMs: number },
): Promise<string[]> {
  const { backend, address } = host;
  changeLimitStatements(host, 1);
  backend.advertisedLimit = String(limit.perSecond);
  const statedAtMs = Date.now();
  await sleep(STABILITY_MS + WINDOW_MS + limit.forMs);
  const endedAtMs = Date.now();
  if (changeLimitStatements(host, -1) === 0) {
    backend.advertisedLimit = undefined;
  }
  const counted = backend.arrivals.filter((atMs) =>
    atMs >= statedAtMs + STABILITY_MS && atMs < endedAtMs
  );
  const most = Math.max(
    0,
    ...counted.map((from) =>
      counted.filter((atMs) => atMs >= from && atMs < from + WINDOW_MS).length
    ),
  );
  const allowed = 1.5 * limit.perSecond * WINDOW_MS / 1_000 + ALLOWED_EXTRA;
  return most <= allowed ? [] : [
    `${address} got ${most} requests in ${WINDOW_MS} ms with a limit of ${limit.perSecond} a second`,
  ];
}

/**
 * Makes a backend server state that it is leaving, while its heartbeats report that it is ready.
 *
 * @returns a message for requests later than its drain time, unless the daemon beside it was disturbed.
 */
export async function stateLeaving(
  { backend, address }: FleetHost,
  forMs: number,
  wasDisturbed: WasDisturbed,
): Promise<string[]> {
  const earlierCount = backend.arrivals.length;
  const earlierStatements = backend.leavingStatements.length;
  const statedAtMs = Date.now();
  backend.statesLeaving = true;
  await sleep(DRAIN_MS + AFTER_DRAIN_MS + forMs);
  const [firstAtMs = Infinity] = backend.arrivals.slice(earlierCount);
  // A server that loses its responses states nothing until one of them is delivered.
  const [statedInResponseAtMs = Infinity] = backend.leavingStatements.slice(
    earlierStatements,
  );
  const knownAtMs = Math.max(firstAtMs + RESPONSE_MS, statedInResponseAtMs);
  const late = backend.arrivals.filter((atMs) => atMs > knownAtMs + DRAIN_MS);
  return late.length === 0 || wasDisturbed(statedAtMs)
    ? []
    : [`${address} got ${late.length} requests after its drain time`];
}
