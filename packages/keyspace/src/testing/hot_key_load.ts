/**
 * The load of two deployments with hot keys: one key always gets a sixth of the requests, and for 4 to 5 s at a time a
 * third to 45 % of them ask for 60 or 200 adjacent keys, different ones each time.
 *
 * @module
 */
import { KEY_COUNT, type KeyRange } from "../mod.ts";

/** Share of the requests that ask for the one key. */
const HEAVY_KEY_SHARE = 1 / 6;
/** Time without adjacent hot keys between two groups of them, in milliseconds. */
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 2_500;
const FIRST_GROUP_AT_MS = 3_000;

/** A group of adjacent hot keys, and its share of the requests. */
export interface HotGroup extends KeyRange {
  readonly startsAtMs: number;
  readonly endsAtMs: number;
  readonly share: number;
}

/** A deployment of the design page, scaled down. */
export interface HotKeyDeployment {
  readonly name: string;
  readonly speeds: readonly number[];
  readonly slots: number;
  readonly meanServiceMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Share of the time in which a server is slow, and the factor. */
  readonly slowShare: number;
  readonly slowness: number;
}

/** The two deployments of docs/design/hard_load.md. */
export const DEPLOYMENTS: readonly HotKeyDeployment[] = [
  {
    name: "labels",
    speeds: [0.6, 1.0, 1.4, 0.6, 1.0, 1.4, 0.6, 1.0, 1.4],
    slots: 6,
    meanServiceMs: 152,
    objectiveMs: 647,
    deadlineMs: 2_695,
    slowShare: 0.2,
    slowness: 3,
  },
  {
    name: "exams",
    speeds: [0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7],
    slots: 6,
    meanServiceMs: 133,
    objectiveMs: 633,
    deadlineMs: 1_582,
    slowShare: 0,
    slowness: 1,
  },
];

/** Requests a second at a utilization of all owners together. */
export function requestsPerSecondAt(
  deployment: HotKeyDeployment,
  utilization: number,
): number {
  const { speeds, slots, meanServiceMs, slowShare, slowness } = deployment;
  const speed = speeds.reduce((sum, value) => sum + value, 0);
  const meanSpeed = 1 - slowShare + slowShare / slowness;
  return utilization * speed * meanSpeed * slots / meanServiceMs * 1_000;
}

/** The popularity of the keys over time. */
export class HotKeyLoad {
  readonly heavyKey: number;
  readonly groups: readonly HotGroup[];
  private known: { group: HotGroup | undefined; shares: readonly number[] };

  private constructor(random: () => number, untilMs: number) {
    this.heavyKey = Math.floor(random() * KEY_COUNT);
    const groups: HotGroup[] = [];
    let atMs = FIRST_GROUP_AT_MS;
    while (atMs < untilMs) {
      const size = random() < 0.5 ? 60 : 200;
      const from = Math.floor(random() * (KEY_COUNT - size));
      const endsAtMs = atMs + 4_000 + 1_000 * random();
      groups.push({
        from,
        to: from + size - 1,
        startsAtMs: atMs,
        endsAtMs,
        share: 0.33 + 0.12 * random(),
      });
      atMs = endsAtMs + MIN_PAUSE_MS +
        (MAX_PAUSE_MS - MIN_PAUSE_MS) * random();
    }
    this.groups = groups;
    this.known = { group: undefined, shares: this.sharesWith(undefined) };
  }

  /** Creates the load up to a time. */
  static create(random: () => number, untilMs: number): HotKeyLoad {
    return new HotKeyLoad(random, untilMs);
  }

  /** The group that is hot at a time. */
  groupAt(nowMs: number): HotGroup | undefined {
    return this.groups.find(({ startsAtMs, endsAtMs }) =>
      startsAtMs <= nowMs && nowMs < endsAtMs
    );
  }

  /** The share of the requests that each key gets at a time. */
  popularityAt(nowMs: number): readonly number[] {
    const group = this.groupAt(nowMs);
    if (group !== this.known.group) {
      this.known = { group, shares: this.sharesWith(group) };
    }
    return this.known.shares;
  }

  private sharesWith(group: HotGroup | undefined): readonly number[] {
    const hotShare = group?.share ?? 0;
    const base = (1 - HEAVY_KEY_SHARE) * (1 - hotShare) / KEY_COUNT;
    const shares = Array.from({ length: KEY_COUNT }, () => base);
    if (group !== undefined) {
      const perKey = (1 - HEAVY_KEY_SHARE) * hotShare /
        (group.to - group.from + 1);
      for (let key = group.from; key <= group.to; key += 1) {
        shares[key]! += perKey;
      }
    }
    shares[this.heavyKey]! += HEAVY_KEY_SHARE;
    return shares;
  }
}

/** The slowness of a server in each phase: slow in a share of the phases, at random. */
export function createSlowPhases(
  deployment: HotKeyDeployment,
  random: () => number,
): (phase: number) => number {
  const { slowShare, slowness } = deployment;
  const phases: number[] = [];
  return (phase) => {
    while (phases.length <= phase) {
      phases.push(random() < slowShare ? slowness : 1);
    }
    return phases[phase]!;
  };
}
