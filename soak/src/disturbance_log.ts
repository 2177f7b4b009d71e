/**
 * Records when faults disturb daemons or the store, for the decision whether a response breaks a promise.
 *
 * @module
 */
import type { Fault, FaultKind } from "./fault_schedule.ts";
import type { Disturbance } from "./route_promises.ts";

/** What a disturbance affects and how. */
export type DisturbanceScope = Pick<Disturbance, "address" | "effect">;

/** Faults of the processes of one host. */
const DAEMON_FAULTS: ReadonlySet<FaultKind> = new Set<FaultKind>([
  "kill_daemon",
  "stop_daemon",
  "pause_daemon",
]);
/** Faults after which no time limit holds: the store is down or slow, loses responses or can't be reached. */
const STORE_OUTAGES: ReadonlySet<FaultKind> = new Set<FaultKind>([
  "store_down",
  "store_slow",
  "store_loses_answers",
  "store_relay_silent",
  "store_relay_one_way",
  "store_relay_reset",
  "store_goes_back",
]);
/** Faults of the store that leave daemons a way to reach it. */
const STORE_DISTURBANCES: ReadonlySet<FaultKind> = new Set<FaultKind>([
  "store_connections_silent",
  "store_connections_closed",
  "store_hides_changes",
]);
/** Faults in which the store serves some daemons only. */
const PARTIAL_OUTAGES: ReadonlySet<FaultKind> = new Set<FaultKind>([
  "store_rejects_some",
  "store_silent_for_some",
]);

/** The disturbances of one run. */
export class DisturbanceLog {
  private readonly recorded: Disturbance[] = [];

  private constructor() {}

  static create(): DisturbanceLog {
    return new DisturbanceLog();
  }

  /** All disturbances so far; the end of one that lasts is infinite. */
  get disturbances(): readonly Disturbance[] {
    return this.recorded;
  }

  /** Records that disturbances start now; returns a function that records their end. */
  begin(scopes: readonly DisturbanceScope[]): () => void {
    const begun = scopes.map((scope) => ({
      ...scope,
      startedAtMs: Date.now(),
      endedAtMs: Infinity,
    }));
    this.recorded.push(...begun);
    return () => {
      begun.forEach((disturbance) => {
        disturbance.endedAtMs = Date.now();
      });
    };
  }
}

/**
 * What a fault disturbs.
 *
 * @param addresses of the host that the fault names, and of all hosts that it affects if it affects some.
 */
export function findScopes(
  { kind }: Pick<Fault, "kind">,
  addresses: { host: string; affected: readonly string[] },
): DisturbanceScope[] {
  if (DAEMON_FAULTS.has(kind)) {
    return [{ address: addresses.host, effect: "lifts" }];
  }
  if (STORE_OUTAGES.has(kind)) {
    return [{ address: "all", effect: "lifts" }];
  }
  if (STORE_DISTURBANCES.has(kind)) {
    return [{ address: "all", effect: "extends" }];
  }
  if (PARTIAL_OUTAGES.has(kind)) {
    return [
      { address: "all", effect: "extends" },
      ...addresses.affected.map((address) => ({
        address,
        effect: "lifts" as const,
      })),
    ];
  }
  return [];
}
