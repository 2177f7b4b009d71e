/**
 * The status of one daemon, for people and tools.
 *
 * @module
 */
import type { DaemonSettings } from "./daemon_settings.ts";
import type { Entrance } from "./entrance.ts";
import type { Fleet } from "./fleet.ts";
import type { Planner } from "./planner.ts";
import type { SessionManager } from "./session_manager.ts";
import type { SlotGate } from "./slot_gate.ts";
import type { StoreFollower } from "./store_follower.ts";

/** Describes a daemon as plain data. */
export function describeStatus(
  parts: {
    settings: DaemonSettings;
    fleet: Fleet;
    keeper: SessionManager;
    planner: Planner;
    follower: StoreFollower;
    gate: SlotGate;
    entrance: Entrance;
    nowMs: number;
  },
): unknown {
  const session = parts.keeper.current;
  return {
    host: parts.settings.host,
    availability_zone: parts.settings.availability_zone,
    session: session?.id ?? null,
    state: session?.state ?? "announcing",
    valid_for_ms: session === undefined
      ? 0
      : Math.max(0, session.validUntilMs - parts.nowMs),
    witnesses: session?.record.witnesses ?? [],
    planner: parts.planner.isPlanner,
    store_reachable: parts.follower.isStoreReachable,
    configuration_version: parts.fleet.configuration?.version.version ?? 0,
    revision: parts.fleet.revision,
    requests: {
      ...parts.gate.counts,
      under_way: parts.entrance.activeCount,
      for_owner: parts.entrance.waitingCount,
    },
  };
}
