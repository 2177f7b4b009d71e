/**
 * A discrete-event simulation of a service in several availability zones whose load comes in waves, one zone after the
 * other. It measures what a choice of servers costs in bytes between zones, and what it does to the callers of each zone.
 *
 * The choice is the real decision code or a reference with full knowledge; servers, reports and the network are
 * simulated. Each daemon knows the servers only by reports of some age and by the outcomes of its own requests.
 *
 * @module
 */
import { EventQueue } from "@bamboolink/simulation";
import type { PlacementCandidate } from "../choose_backend.ts";
import { SimulatedDaemon } from "./simulated_daemon.ts";
import { SimulatedServer } from "./simulated_server.ts";

/** Interval of the daemons' reports, in milliseconds. */
const REPORT_INTERVAL_MS = 500;
/** Share of the reports that reach a given daemon: the median age is then 1 s, as in a fleet of some 60 daemons. */
const REPORT_SHARE = 0.4;
/** One-way delays to a daemon in the same zone and in another, in milliseconds, including processing. */
const SAME_ZONE_MS = 2;
const OTHER_ZONE_MS = 3;
/** Maximum attempts for one request. */
const MAX_ROUNDS = 4;
/** Time before the measurement starts, in milliseconds, in which daemons learn service times and sizes. */
const WARM_UP_MS = 3_000;

/** One kind of request. */
export interface RequestKind {
  readonly route: string;
  /** Share of all requests. */
  readonly share: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly requestBytes: number;
  readonly responseBytes: number;
}

/** Parameters of a simulation. */
export interface ZoneScenario {
  /** Speeds of the servers of each zone. */
  readonly speeds: readonly (readonly number[])[];
  readonly slots: number;
  /** Daemons of each zone that callers send to, including those beside servers. */
  readonly daemonsPerZone: number;
  readonly kinds: readonly RequestKind[];
  /** Offered work relative to the capacity of all zones, on average over the waves. */
  readonly utilization: number;
  readonly swing: number;
  readonly periodMs: number;
  /** Phase of the wave of each zone, as a share of the period. */
  readonly phases: readonly number[];
  readonly durationMs: number;
  /** Whether the daemons receive reports at a time, and whether the servers of a zone are available. */
  readonly hasReports?: (nowMs: number) => boolean;
  readonly isAvailable?: (zone: number, nowMs: number) => boolean;
  /** Random numbers for the arrivals, and for choices and reports. */
  readonly arrivalRandom: () => number;
  readonly random: () => number;
}

/** A request for which a server is to be chosen. */
export interface SimulatedRequest {
  readonly kind: RequestKind;
  readonly zone: number;
  readonly workMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
}

/** What a policy may use. Only references with full knowledge use `servers`. */
export interface ChoiceContext {
  readonly nowMs: number;
  /** Number of the choosing daemon. */
  readonly daemon: number;
  readonly candidates: readonly PlacementCandidate[];
  readonly servers: readonly SimulatedServer[];
  readonly isRetry: boolean;
  readonly random: () => number;
}

/** Chooses the server of each request; returns its number, or `undefined` to refuse the request. */
export type ZonePolicy = (
  request: SimulatedRequest,
  context: ChoiceContext,
) => number | undefined;

/** Results for the requests whose callers are in one zone. */
export interface ZoneResult {
  requests: number;
  onTime: number;
  refused: number;
  /** Arrived in this zone and ran in another one, by route. */
  crossed: Record<string, number>;
}

/** Result of a simulation. */
export interface SimulationResult {
  readonly zones: readonly ZoneResult[];
  crossZoneBytes: number;
  readonly meanUtilization: number;
  readonly maxUtilization: number;
}

/** The simulated service. */
export class ZoneSimulation {
  private readonly events = EventQueue.create();
  private readonly servers: SimulatedServer[];
  private readonly daemons: SimulatedDaemon[];
  private readonly zones: ZoneResult[];
  private crossZoneBytes = 0;

  private constructor(
    private readonly scenario: ZoneScenario,
    private readonly policy: ZonePolicy,
  ) {
    const { speeds, slots, daemonsPerZone } = scenario;
    this.servers = speeds.flatMap((zoneSpeeds, zone) =>
      zoneSpeeds.map((speed) => SimulatedServer.create({ zone, speed, slots }))
    );
    this.daemons = speeds.flatMap((_, zone) => {
      const local = this.servers.flatMap((server, index) =>
        server.zone === zone ? [index] : []
      );
      return Array.from(
        { length: daemonsPerZone },
        (_, index) =>
          SimulatedDaemon.create(
            { zone, localServer: local[index] },
            this.servers,
          ),
      );
    });
    this.zones = speeds.map(() => ({
      requests: 0,
      onTime: 0,
      refused: 0,
      crossed: {},
    }));
  }

  /** Runs a scenario with a policy. */
  static run(scenario: ZoneScenario, policy: ZonePolicy): SimulationResult {
    const simulation = new ZoneSimulation(scenario, policy);
    return simulation.run();
  }

  private run(): SimulationResult {
    this.zones.forEach((_, zone) => this.scheduleArrival(zone));
    this.scheduleReports();
    let busyAtStartMs: number[] = [];
    this.events.after(WARM_UP_MS, () => {
      busyAtStartMs = this.servers.map(({ busyMs }) => busyMs);
    });
    this.events.runAll();
    const measuredMs = this.scenario.durationMs - WARM_UP_MS;
    const utilizations = this.servers.map(({ busyMs, slots }, index) =>
      (busyMs - busyAtStartMs[index]!) / slots / measuredMs
    );
    const total = utilizations.reduce((sum, value) => sum + value, 0);
    return {
      zones: this.zones,
      crossZoneBytes: this.crossZoneBytes,
      meanUtilization: total / utilizations.length,
      maxUtilization: Math.max(...utilizations),
    };
  }

  private get nowMs(): number {
    return this.events.nowMs;
  }

  private scheduleArrival(zone: number): void {
    const { arrivalRandom, durationMs } = this.scenario;
    const delayMs = -Math.log(1 - arrivalRandom()) / this.arrivalsPerMs(zone);
    if (this.nowMs + delayMs < durationMs) {
      this.events.after(delayMs, () => {
        this.handleArrival(zone);
        this.scheduleArrival(zone);
      });
    }
  }

  /** Each zone gets the same share of the load, whatever the capacity of its servers. */
  private arrivalsPerMs(zone: number): number {
    const { utilization, swing, periodMs, phases, kinds, speeds } =
      this.scenario;
    const capacity = this.servers.reduce(
      (sum, { speed, slots }) => sum + speed * slots,
      0,
    );
    const meanWorkMs = kinds.reduce(
      (sum, { share, workMs }) => sum + share * workMs,
      0,
    );
    const turn = this.nowMs / periodMs + phases[zone]!;
    const wave = 1 + swing * Math.sin(2 * Math.PI * turn);
    return utilization * capacity / speeds.length / meanWorkMs * wave;
  }

  private handleArrival(zone: number): void {
    const { arrivalRandom: random, kinds, daemonsPerZone } = this.scenario;
    const kind = pickKind(kinds, random());
    const request: SimulatedRequest = {
      kind,
      zone,
      workMs: kind.workMs * (0.5 + random()),
      objectiveAtMs: this.nowMs + kind.objectiveMs,
      deadlineAtMs: this.nowMs + kind.deadlineMs,
    };
    const index = zone * daemonsPerZone + Math.floor(random() * daemonsPerZone);
    if (this.nowMs >= WARM_UP_MS) {
      this.zones[zone]!.requests += 1;
    }
    this.attempt(request, this.daemons[index]!, []);
  }

  private attempt(
    request: SimulatedRequest,
    daemon: SimulatedDaemon,
    tried: readonly number[],
  ): void {
    const { random, isAvailable = () => true } = this.scenario;
    const candidates = this.servers.flatMap(({ zone }, server) =>
      tried.includes(server) || !isAvailable(zone, this.nowMs)
        ? []
        : [daemon.toCandidate(server, request.kind.route, this.nowMs)]
    );
    const chosen = tried.length === MAX_ROUNDS ? undefined : this.policy(
      request,
      {
        nowMs: this.nowMs,
        daemon: this.daemons.indexOf(daemon),
        candidates,
        servers: this.servers,
        isRetry: tried.length > 0,
        random,
      },
    );
    if (chosen === undefined) {
      this.record(request, (zone) => zone.refused += 1);
      return;
    }
    const isOtherZone = this.servers[chosen]!.zone !== daemon.zone;
    this.countBytes(isOtherZone ? request.kind.requestBytes : 0);
    const delayMs = chosen === daemon.localServer
      ? 0
      : isOtherZone
      ? OTHER_ZONE_MS
      : SAME_ZONE_MS;
    daemon.recordSent(chosen);
    this.events.after(delayMs, () => {
      const { kind, workMs, deadlineAtMs } = request;
      const endsAtMs = this.servers[chosen]!.offer({
        workMs,
        estimateMs: kind.workMs,
        deadlineAtMs,
      }, this.nowMs);
      const isRefused = endsAtMs === undefined;
      const runMs = (endsAtMs ?? this.nowMs) - this.nowMs;
      this.events.after(runMs + delayMs, () => {
        daemon.recordLoad(chosen, this.nowMs);
        if (isRefused) {
          this.attempt(request, daemon, [...tried, chosen]);
          return;
        }
        this.recordServed(request, { daemon, chosen, isOtherZone });
      });
    });
  }

  private recordServed(
    request: SimulatedRequest,
    at: { daemon: SimulatedDaemon; chosen: number; isOtherZone: boolean },
  ): void {
    const { kind, objectiveAtMs } = request;
    const { daemon, chosen, isOtherZone } = at;
    daemon.recordResponse(chosen, {
      route: kind.route,
      workMs: kind.workMs,
      bytes: kind.requestBytes + kind.responseBytes,
      nowMs: this.nowMs,
    });
    this.countBytes(isOtherZone ? kind.responseBytes : 0);
    this.record(request, (zone) => {
      zone.onTime += this.nowMs <= objectiveAtMs ? 1 : 0;
      zone.crossed[kind.route] = (zone.crossed[kind.route] ?? 0) +
        (isOtherZone ? 1 : 0);
    });
  }

  private countBytes(bytes: number): void {
    this.crossZoneBytes += this.nowMs >= WARM_UP_MS ? bytes : 0;
  }

  /** Records a result unless the request arrived during the warm-up. */
  private record(
    { zone, objectiveAtMs, kind }: SimulatedRequest,
    change: (zone: ZoneResult) => void,
  ): void {
    if (objectiveAtMs - kind.objectiveMs >= WARM_UP_MS) {
      change(this.zones[zone]!);
    }
  }

  private scheduleReports(): void {
    const { random, durationMs, hasReports = () => true } = this.scenario;
    if (this.nowMs > durationMs) {
      return;
    }
    const reports = this.servers.map((server) => server.report(this.nowMs));
    this.events.after(REPORT_INTERVAL_MS, () => {
      if (hasReports(this.nowMs)) {
        this.daemons.forEach((daemon) =>
          reports.forEach((report, server) => {
            if (random() < REPORT_SHARE) {
              daemon.recordReport(server, report, this.nowMs);
            }
          })
        );
      }
      this.scheduleReports();
    });
  }
}

function pickKind(kinds: readonly RequestKind[], value: number): RequestKind {
  let rest = value;
  return kinds.find(({ share }) => (rest -= share) < 0) ??
    kinds[kinds.length - 1]!;
}
