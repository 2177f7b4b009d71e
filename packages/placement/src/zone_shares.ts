/**
 * Computes which share of a zone's work goes to each other zone.
 *
 * Designed for waves of load that reach the zones one after the other: what a zone sends out follows from the load and
 * the capacity of all zones, before its own queues have grown. It keeps what its servers can do, or as much as the mean
 * of all zones if all are full.
 *
 * @module
 */

/** The load of one zone's servers, in any unit of work. */
export interface ZoneLoad {
  readonly zone: string;
  /** Work that the zone's servers can do, at their speeds. */
  readonly capacity: number;
  /** Work that reaches the zone's servers, also from callers in other zones. */
  readonly offered: number;
}

/** Work of one route that callers in a zone offer. */
export interface RouteWork {
  readonly route: string;
  readonly arrivals: number;
  /** Size of a request and its response together, in bytes, relative to its work. */
  readonly bytesPerWork: number;
}

/**
 * Utilization up to which a zone keeps all of its work. Below 1, the requests that wait are still in time, and a lower
 * target sends out work that its servers can do: with 0.9, a third more bytes at a mean load of 0.7.
 */
const TARGET_UTILIZATION = 1;
/**
 * Least room of another zone, as a share of its capacity. The work that a zone sends out fills the room that the reports
 * show; without this, it would stop sending once it has filled all of it, and start again when its own queues have grown.
 */
const MIN_ROOM_SHARE = 0.05;

/**
 * Computes the shares of a zone's work that go to other zones.
 *
 * Zones are filled to the target, or to the mean utilization of all zones if that is higher. What the callers of a zone
 * offer beyond that goes to the other zones in proportion to their room.
 *
 * @param origin the zone, and the work that its callers offer, wherever that is done.
 * @returns the share of each zone that gets work; their sum is at most 1.
 */
export function computeZoneShares(
  origin: { zone: string; arrivals: number },
  zones: readonly ZoneLoad[],
): ReadonlyMap<string, number> {
  const usable = zones.filter(isValid);
  const own = usable.find(({ zone }) => zone === origin.zone);
  const others = usable.filter(({ zone }) => zone !== origin.zone);
  if (own === undefined || !(origin.arrivals > 0)) {
    return new Map();
  }
  const total = (field: "capacity" | "offered") =>
    usable.reduce((sum, zone) => sum + zone[field], 0);
  const level = Math.max(
    TARGET_UTILIZATION,
    total("offered") / total("capacity"),
  );
  const excess = origin.arrivals - level * own.capacity;
  if (excess <= 0) {
    return new Map();
  }
  const rooms = others.map(({ zone, capacity, offered }) => ({
    zone,
    room: Math.max(MIN_ROOM_SHARE * capacity, level * capacity - offered),
  }));
  const totalRoom = rooms.reduce((sum, { room }) => sum + room, 0);
  const share = excess / origin.arrivals;
  return new Map(
    rooms.map(({ zone, room }) => [zone, share * room / totalRoom]),
  );
}

/**
 * Divides the share of a zone's work that leaves it among the routes: those with the fewest bytes for their work first.
 *
 * @returns the share of each route's requests that leaves the zone.
 */
export function divideByRoute(
  share: number,
  routes: readonly RouteWork[],
): ReadonlyMap<string, number> {
  const total = routes.reduce((sum, { arrivals }) => sum + arrivals, 0);
  let leaving = Math.min(1, Math.max(0, share)) * total;
  return new Map(
    routes
      .toSorted((left, right) => left.bytesPerWork - right.bytesPerWork)
      .map(({ route, arrivals }) => {
        const taken = Math.min(leaving, arrivals);
        leaving -= taken;
        return [route, arrivals === 0 ? 0 : taken / arrivals];
      }),
  );
}

/** Whether the values of a zone can be used; they are derived from reports of other daemons. */
function isValid({ capacity, offered }: ZoneLoad): boolean {
  return Number.isFinite(capacity) && capacity > 0 &&
    Number.isFinite(offered) && offered >= 0;
}
