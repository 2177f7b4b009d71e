/**
 * Computes which share of a zone's work goes to each other zone.
 *
 * Designed for waves of load that reach the zones one after the other: what a zone sends out follows from its work and
 * its capacity, before its own queues have grown. It sends out no more than other zones have room for, and nothing if
 * all are full: the bytes would be paid for, and the work would wait there as long.
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
 * Utilization up to which other zones fill a zone; the rest is for its own waves, which rise by a tenth of the capacity
 * while a report is on its way. With 1, a tenth more bytes at a mean load of 0.7, and no more requests on time.
 */
const MAX_FILLED_UTILIZATION = 0.9;

/**
 * Computes the shares of a zone's work that go to other zones.
 *
 * What the callers of a zone offer beyond its target goes to the other zones in proportion to their room.
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
  const excess = origin.arrivals - TARGET_UTILIZATION * own.capacity;
  const rooms = others
    .map(({ zone, capacity, offered }) => ({
      zone,
      room: MAX_FILLED_UTILIZATION * capacity - offered,
    }))
    .filter(({ room }) => room > 0);
  if (excess <= 0 || rooms.length === 0) {
    return new Map();
  }
  const totalRoom = rooms.reduce((sum, { room }) => sum + room, 0);
  const share = Math.min(excess, totalRoom) / origin.arrivals;
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
