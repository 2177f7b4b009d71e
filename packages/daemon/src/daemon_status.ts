/**
 * The status of one daemon, for people and tools.
 *
 * @module
 */
import type { DaemonSettings } from "./daemon_settings.ts";
import type { RequestRouter } from "./request_router.ts";
import type { Fleet } from "./fleet.ts";
import type { Planner } from "./planner.ts";
import type { SessionManager } from "./session_manager.ts";
import type { SlotLimiter } from "./slot_limiter.ts";
import type { StoreFollower } from "./store_follower.ts";

/** Returns the status of a daemon as plain data, as the admin server sends it. */
export function describeStatus(
  parts: {
    settings: DaemonSettings;
    fleet: Fleet;
    sessionManager: SessionManager;
    planner: Planner;
    follower: StoreFollower;
    slotLimiter: SlotLimiter;
    router: RequestRouter;
    nowMs: number;
  },
): unknown {
  const session = parts.sessionManager.current;
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
      ...parts.slotLimiter.counts,
      under_way: parts.router.activeCount,
      for_owner: parts.router.waitingCount,
    },
  };
}
