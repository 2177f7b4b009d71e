/**
 * What a single queue with full knowledge would have served of a scenario of {@link AdmissionSimulation}.
 *
 * It knows how long each request takes, holds every request until it is started or hopeless, and needs no hops.
 *
 * @module
 */
import { EventQueue } from "@bamboolink/simulation";
import {
  type AdmissionScenario,
  drawWorkFactor,
  type RequestKind,
} from "./admission_model.ts";

interface KnownRequest {
  readonly kind: RequestKind;
  readonly owner: number | undefined;
  readonly workMs: number;
  readonly sentAtMs: number;
}

/** Serves a scenario with full knowledge; returns the share of all requests that was served. */
export function serveWithFullKnowledge(scenario: AdmissionScenario): number {
  const { speeds, slots, kinds, durationMs, loadAt, random, ownerAt } =
    scenario;
  const events = EventQueue.create();
  const running = speeds.map(() => 0);
  const counts = { requests: 0, served: 0 };
  let waiting: KnownRequest[] = [];

  const endOf = (request: KnownRequest, server: number, nowMs: number) =>
    nowMs + request.workMs / speeds[server]!;
  const mayRun = (request: KnownRequest, server: number, nowMs: number) =>
    (request.owner ?? server) === server &&
    endOf(request, server, nowMs) <=
      request.sentAtMs + request.kind.deadlineMs;
  const start = (request: KnownRequest, server: number, nowMs: number) => {
    running[server]! += 1;
    counts.served += 1;
    events.at(endOf(request, server, nowMs), (endedAtMs) => {
      running[server]! -= 1;
      startNext(server, endedAtMs);
    });
  };
  const startNext = (server: number, nowMs: number) => {
    waiting = waiting.filter(({ sentAtMs, kind }) =>
      sentAtMs + kind.deadlineMs > nowMs
    );
    const next = waiting
      .filter((request) => mayRun(request, server, nowMs))
      .toSorted((left, right) =>
        left.kind.rank - right.kind.rank ||
        left.sentAtMs + left.kind.deadlineMs -
          (right.sentAtMs + right.kind.deadlineMs)
      )[0];
    if (next !== undefined) {
      waiting = waiting.filter((request) => request !== next);
      start(next, server, nowMs);
    }
  };
  const arrive = (kind: RequestKind, nowMs: number) => {
    // The simulation draws the daemon that receives the request; without this, the arrivals would differ.
    random();
    const request = {
      kind,
      owner: ownerAt?.(nowMs, random()),
      workMs: kind.workMs * drawWorkFactor(random),
      sentAtMs: nowMs,
    };
    counts.requests += 1;
    const free = speeds
      .map((speed, server) => ({ speed, server }))
      .filter(({ server }) =>
        running[server]! < slots && mayRun(request, server, nowMs)
      )
      .sort((left, right) => right.speed - left.speed)[0];
    if (free === undefined) {
      waiting.push(request);
    } else {
      start(request, free.server, nowMs);
    }
  };
  const schedule = (kind: RequestKind, nowMs: number) => {
    const perMs = kind.perSecond * loadAt(nowMs) / 1_000;
    const nextMs = nowMs - Math.log(1 - random()) / perMs;
    if (nextMs < durationMs) {
      events.at(nextMs, () => {
        arrive(kind, nextMs);
        schedule(kind, nextMs);
      });
    }
  };
  kinds.forEach((kind) => schedule(kind, 0));
  events.runAll();
  return counts.served / counts.requests;
}
