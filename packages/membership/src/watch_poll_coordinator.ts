/**
 * Spaces the renewals of all daemons' store watches evenly.
 *
 * Each daemon announces when it will renew next, and plans each renewal where those of the others leave a gap, or
 * behind them. Renewals drawn at random have to be far more frequent to be as rarely far apart. A lost announcement
 * leads to an additional renewal, not to a missing one.
 *
 * @module
 */
import type { WatchPollSchedule } from "./watch_poll_schedule.ts";

/**
 * Time between two renewals of the fleet, in milliseconds. The fleet receives a change within 2 s even if two renewals
 * in a row are missing, or one is and the next waits 600 ms for a response before its connection is replaced.
 */
const RENEWAL_INTERVAL_MS = 650;
/**
 * Planned renewals that are further apart than this, in milliseconds, leave a gap to fill. A single plan that was not
 * received looks like a gap of two intervals.
 */
const MIN_GAP_MS = 2.5 * RENEWAL_INTERVAL_MS;
/**
 * The same for a daemon that plans for the first time, in milliseconds: daemons that start together draw their first
 * timeouts at random, which leaves larger gaps than lost plans do.
 */
const MIN_FIRST_GAP_MS = 1.75 * RENEWAL_INTERVAL_MS;
/** Maximum time until a daemon's next renewal, in milliseconds; larger fleets need no coordination. */
const MAX_TIMEOUT_MS = 28_000;
/** Plans that are closer to each other, in milliseconds, may be replaced before the others' new plans are known. */
const TIE_WINDOW_MS = 30;
/** A poll that ends this long before its planned time, in milliseconds, was ended by something else. */
const TIMER_TOLERANCE_MS = 50;

/** Plans the renewals of one daemon's watch. */
export class WatchPollCoordinator {
  /** When the other daemons will renew, by address. */
  private readonly plansMs = new Map<string, number>();
  private ownPlanMs = -Infinity;
  private hasPlanned = false;

  private constructor(
    private readonly address: string,
    private readonly uncoordinated: WatchPollSchedule,
  ) {}

  /**
   * Creates a coordinator that knows no plans.
   *
   * @param address identifies this daemon.
   * @param uncoordinated used while no other daemon or none of its plans is known, and in large fleets.
   */
  static create(
    address: string,
    uncoordinated: WatchPollSchedule,
  ): WatchPollCoordinator {
    return new WatchPollCoordinator(address, uncoordinated);
  }

  /** Whether a fleet of so many daemons coordinates its renewals. */
  static coordinates(daemons: number): boolean {
    return daemons * RENEWAL_INTERVAL_MS <= MAX_TIMEOUT_MS;
  }

  /** Records when another daemon will renew, on this daemon's clock. */
  recordPlan(daemon: string, renewsAtMs: number): void {
    this.plansMs.set(daemon, renewsAtMs);
  }

  /**
   * Chooses the next timeout, in milliseconds.
   *
   * @param others addresses of the other alive daemons.
   * @param endedUnchanged whether the last poll reached its timeout without a change.
   */
  nextTimeoutMs(
    { nowMs, others, endedUnchanged }: {
      nowMs: number;
      others: readonly string[];
      endedUnchanged: boolean;
    },
  ): number {
    this.forgetAllBut(others);
    const timeoutMs = others.length === 0
      ? this.uncoordinated.drawLoneTimeoutMs()
      : this.chooseSharedTimeoutMs({ nowMs, others, endedUnchanged });
    this.ownPlanMs = nowMs + timeoutMs;
    return timeoutMs;
  }

  /** Chooses the timeout of a daemon that shares the renewals with others, in milliseconds. */
  private chooseSharedTimeoutMs(
    { nowMs, others, endedUnchanged }: {
      nowMs: number;
      others: readonly string[];
      endedUnchanged: boolean;
    },
  ): number {
    const daemons = others.length + 1;
    const plans = [...this.plansMs].filter(([, planMs]) =>
      planMs >= nowMs - RENEWAL_INTERVAL_MS
    );
    return plans.length === 0 || !WatchPollCoordinator.coordinates(daemons)
      ? this.uncoordinated.nextTimeoutMs({ daemons, endedUnchanged })
      : this.planTimeoutMs(plans, { nowMs, daemons });
  }

  /**
   * A poll that ends early is repeated until its planned time: a change ends the polls of all daemons, and new plans
   * made at the same time would coincide. Of two daemons whose plans coincide nevertheless, one leaves a place
   * for the other.
   */
  private planTimeoutMs(
    plans: readonly (readonly [string, number])[],
    { nowMs, daemons }: { nowMs: number; daemons: number },
  ): number {
    const fullTimeoutMs = daemons * RENEWAL_INTERVAL_MS;
    const remainingMs = this.ownPlanMs - nowMs;
    if (remainingMs > TIMER_TOLERANCE_MS) {
      return Math.ceil(Math.min(remainingMs, fullTimeoutMs));
    }
    const plansMs = plans.map(([, planMs]) => planMs);
    const isTied = plans.some(([daemon, planMs]) =>
      Math.abs(planMs - nowMs) < TIE_WINDOW_MS && daemon < this.address
    );
    const minGapMs = this.hasPlanned ? MIN_GAP_MS : MIN_FIRST_GAP_MS;
    this.hasPlanned = true;
    const freeAtMs = findFreeTimeMs(plansMs, { startMs: nowMs, minGapMs });
    const planMs = isTied
      ? findFreeTimeMs([...plansMs, freeAtMs], { startMs: nowMs, minGapMs })
      : freeAtMs;
    return Math.ceil(Math.min(planMs - nowMs, fullTimeoutMs));
  }

  private forgetAllBut(daemons: readonly string[]): void {
    const known = new Set(daemons);
    [...this.plansMs.keys()]
      .filter((daemon) => !known.has(daemon))
      .forEach((daemon) => this.plansMs.delete(daemon));
  }
}

/** Finds the first time after `startMs` that is in a gap between the plans, or behind them, in milliseconds. */
function findFreeTimeMs(
  plansMs: readonly number[],
  { startMs, minGapMs }: { startMs: number; minGapMs: number },
): number {
  const timesMs = [
    startMs,
    ...plansMs.filter((planMs) => planMs > startMs)
      .sort((left, right) => left - right),
  ];
  const beforeGapMs = timesMs.find((timeMs, index) =>
    (timesMs[index + 1] ?? Infinity) - timeMs >= minGapMs
  );
  return (beforeGapMs ?? startMs) + RENEWAL_INTERVAL_MS;
}
