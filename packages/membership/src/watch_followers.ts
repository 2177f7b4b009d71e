/**
 * Determines which daemons follow the operators' records in the store for the whole fleet, and when the others have to
 * poll the store themselves.
 *
 * Designed for large fleets: if all daemons poll, each change ends the polls of all of them at once, and every poll is a
 * billed call.
 *
 * @module
 */
import type { MemberReport } from "./member.ts";

/** In smaller fleets all daemons follow the records: there are few calls to save. */
const MIN_FLEET_SIZE = 16;
/** A zone has at least this number of followers, since one may be lost or cut off from the store. */
const MIN_FOLLOWERS_PER_ZONE = 2;
/**
 * Number of daemons per follower. After a change, each of them fetches the document from a follower, over links of some
 * 10 Mbit/s; twelve documents of 100 KB take a second.
 */
const DAEMONS_PER_FOLLOWER = 12;
/**
 * Age of the newest known response of the store, in milliseconds, above which other daemons poll, too. Followers renew
 * their polls 650 ms apart, and one announcement may be lost.
 */
const MAX_OBSERVATION_AGE_MS = 1_400;
/**
 * Time between the first polls of two daemons that aren't followers, in milliseconds, so that an outage of the store
 * doesn't make all of them poll at the same time.
 */
const SUBSTITUTE_INTERVAL_MS = 650;
/** Upper limit of the time from the first to the last of these polls, in milliseconds, however many daemons there are. */
const MAX_SUBSTITUTE_DELAY_MS = 8_000;
/**
 * A daemon that has received no heartbeat of any other for this time, in milliseconds, is probably cut off from the
 * followers, and polls at once. Heartbeats of some other daemon arrive several times a second.
 */
const MAX_PEER_SILENCE_MS = 1_000;

/** The fields of a report that determine whether its daemon is a follower. */
export type FollowerCandidate = Pick<
  MemberReport,
  "address" | "availabilityZone" | "phase" | "reachesStore"
>;

/** One daemon's knowledge of the followers and of how recently the store has responded to one of them. */
export class WatchFollowers {
  private observedAtMs = -Infinity;
  /** Daemons of earlier versions, which announce no responses of the store. */
  private readonly silentDaemons = new Set<string>();

  private constructor(private readonly address: string) {}

  /**
   * Creates an instance that knows no response of the store.
   *
   * @param address identifies this daemon.
   */
  static create(address: string): WatchFollowers {
    return new WatchFollowers(address);
  }

  /** Records when the store has responded to a daemon that follows its records, on this daemon's clock. */
  recordObservation(observedAtMs: number): void {
    this.observedAtMs = Math.max(this.observedAtMs, observedAtMs);
  }

  /** Records whether a daemon announces responses of the store; one that doesn't is no follower for others. */
  recordAnnouncement(daemon: string, hasObservation: boolean): void {
    if (hasObservation) {
      this.silentDaemons.delete(daemon);
    } else {
      this.silentDaemons.add(daemon);
    }
  }

  /**
   * The other daemons with which this one shares the renewals of polls; `undefined` if it is no follower.
   *
   * @param members all alive daemons, including this one.
   */
  findFellowFollowers(
    members: readonly FollowerCandidate[],
  ): string[] | undefined {
    const followers = this.chooseFollowers(members);
    return followers.includes(this.address)
      ? followers.filter((address) => address !== this.address)
      : undefined;
  }

  /**
   * Time until this daemon has to poll the store, in milliseconds; 0 if it has to poll now.
   *
   * @param members all alive daemons, including this one.
   * @param now `peerSilenceMs`: time since the last heartbeat of any other daemon, in milliseconds.
   */
  holdMs(
    members: readonly FollowerCandidate[],
    { nowMs, peerSilenceMs }: { nowMs: number; peerSilenceMs: number },
  ): number {
    const followers = new Set(this.chooseFollowers(members));
    if (followers.has(this.address) || peerSilenceMs > MAX_PEER_SILENCE_MS) {
      return 0;
    }
    const others = toOrder(members)
      .filter(({ address }) => !followers.has(address));
    const position = others.findIndex(({ address }) =>
      address === this.address
    );
    const intervalMs = Math.min(
      SUBSTITUTE_INTERVAL_MS,
      MAX_SUBSTITUTE_DELAY_MS / others.length,
    );
    const dueAtMs = this.observedAtMs + MAX_OBSERVATION_AGE_MS +
      Math.max(0, position) * intervalMs;
    return Math.max(0, dueAtMs - nowMs);
  }

  /** All daemons of a small fleet; in a large one some of each zone, among those that reach the store. */
  private chooseFollowers(members: readonly FollowerCandidate[]): string[] {
    const ordered = toOrder(members);
    if (members.length < MIN_FLEET_SIZE) {
      return ordered.map(({ address }) => address);
    }
    const zones = [
      ...new Set(ordered.map(({ availabilityZone }) => availabilityZone)),
    ];
    return zones.flatMap((zone) => {
      const inZone = ordered.filter(({ availabilityZone }) =>
        availabilityZone === zone
      );
      const count = Math.max(
        MIN_FOLLOWERS_PER_ZONE,
        Math.ceil(inZone.length / DAEMONS_PER_FOLLOWER),
      );
      return inZone
        .filter(({ address, reachesStore, phase }) =>
          reachesStore && phase !== "stopping" &&
          !this.silentDaemons.has(address)
        )
        .slice(0, count)
        .map(({ address }) => address);
    });
  }
}

/** Descending order of addresses: the leading daemon, which has more to do than others, is the first in ascending order. */
function toOrder(members: readonly FollowerCandidate[]): FollowerCandidate[] {
  return members.toSorted((left, right) =>
    left.address < right.address ? 1 : -1
  );
}
