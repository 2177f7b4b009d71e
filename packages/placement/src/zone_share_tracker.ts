/**
 * Follows the work that one daemon places for one service, and computes from it and from the servers' reports which
 * share of each route's requests should leave the zone.
 *
 * @module
 */
import {
  computeZoneShares,
  divideByRoute,
  type ZoneLoad,
} from "./zone_shares.ts";

/** The load of one server, as last reported. */
export interface ServerLoad {
  readonly zone: string;
  /** Slots that requests can keep busy. */
  readonly capacity: number;
  /** Offered work relative to the capacity. */
  readonly utilization: number;
  /** Speed relative to the other servers of the service. */
  readonly speed: number;
}

/** A request that was placed. */
export interface PlacedRequest {
  readonly route: string;
  /** Typical service time of the route, in milliseconds. */
  readonly workMs: number;
  /** Size of the request and its typical response together, in bytes. */
  readonly bytes: number;
  readonly isOtherZone: boolean;
}

/** Interval at which the shares are computed, in milliseconds; reports are older than this. */
const UPDATE_INTERVAL_MS = 250;
/**
 * Half-life of the placed work, in milliseconds. A daemon places a few requests of a service in a second, so a shorter
 * one would follow chance, and a longer one would lag behind waves of 17 s.
 */
const HALF_LIFE_MS = 2_000;

interface RouteEntry {
  keptMs: number;
  leftMs: number;
  bytes: number;
}

/** The shares of one service at one daemon. */
export class ZoneShareTracker {
  private readonly routes = new Map<string, RouteEntry>();
  private decayedAtMs = 0;
  private updatedAtMs = -Infinity;
  private shares: ReadonlyMap<string, number> = new Map();

  private constructor(private readonly zone: string) {}

  /** Creates a tracker without placed requests; `zone` is that of the daemon. */
  static create(zone: string): ZoneShareTracker {
    return new ZoneShareTracker(zone);
  }

  /** Records where a request was placed. */
  recordPlaced(placed: PlacedRequest, nowMs: number): void {
    this.decay(nowMs);
    const { route, workMs, bytes, isOtherZone } = placed;
    const entry = this.routes.get(route) ?? { keptMs: 0, leftMs: 0, bytes: 0 };
    entry.keptMs += isOtherZone ? 0 : workMs;
    entry.leftMs += isOtherZone ? workMs : 0;
    entry.bytes += bytes;
    this.routes.set(route, entry);
  }

  /** Share of a route's requests that should leave the zone. */
  leavingShare(
    route: string,
    servers: () => readonly ServerLoad[],
    nowMs: number,
  ): number {
    if (nowMs - this.updatedAtMs >= UPDATE_INTERVAL_MS) {
      this.updatedAtMs = nowMs;
      this.decay(nowMs);
      this.update(servers());
    }
    return this.shares.get(route) ?? 0;
  }

  private update(servers: readonly ServerLoad[]): void {
    const zones = toZoneLoads(servers);
    const entries = [...this.routes.values()];
    const keptMs = entries.reduce((sum, entry) => sum + entry.keptMs, 0);
    const leftMs = entries.reduce((sum, entry) => sum + entry.leftMs, 0);
    const own = zones.find(({ zone }) => zone === this.zone);
    if (own === undefined || keptMs === 0) {
      this.shares = new Map();
      return;
    }
    // All daemons of a zone follow the same reports, so the share that this one keeps is that of the zone.
    const arrivals = own.offered * (keptMs + leftMs) / keptMs;
    const byZone = computeZoneShares({ zone: this.zone, arrivals }, zones);
    const share = [...byZone.values()].reduce((sum, value) => sum + value, 0);
    this.shares = divideByRoute(
      share,
      [...this.routes].map(([route, entry]) => {
        const routeMs = entry.keptMs + entry.leftMs;
        return {
          route,
          arrivals: routeMs,
          bytesPerWork: entry.bytes / Math.max(1e-9, routeMs),
        };
      }),
    );
  }

  private decay(nowMs: number): void {
    const factor = 0.5 ** ((nowMs - this.decayedAtMs) / HALF_LIFE_MS);
    this.decayedAtMs = nowMs;
    this.routes.forEach((entry) => {
      entry.keptMs *= factor;
      entry.leftMs *= factor;
      entry.bytes *= factor;
    });
  }
}

function toZoneLoads(servers: readonly ServerLoad[]): ZoneLoad[] {
  const zones = new Map<string, { capacity: number; offered: number }>();
  servers.forEach(({ zone, capacity, utilization, speed }) => {
    const entry = zones.get(zone) ?? { capacity: 0, offered: 0 };
    entry.capacity += capacity * speed;
    entry.offered += capacity * speed * utilization;
    zones.set(zone, entry);
  });
  return [...zones].map(([zone, load]) => ({ zone, ...load }));
}
