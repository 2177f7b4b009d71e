/**
 * Replays of hot keys: a few neighbouring keys bring far more work than one backend server can do.
 *
 * @module
 */
import { expect } from "chai";
import { LoadProfile } from "./load_profile.ts";
import type { OwnerLoad } from "./balance_loads.ts";
import { planRebalance } from "./plan_rebalance.ts";
import { KEY_COUNT, type KeyRange, RangeMap } from "./range_map.ts";

const SLOTS = 8;
const OWNERS = 30;
/** Work of all keys together, in slots: two thirds of what the owners have. */
const WORK = 160;
/** Share of the work that the hot keys bring, and how many there are. */
const HOT_SHARE = 0.4;
const HOT_KEYS = 200;
const FIRST_HOT_KEY = 20_000;

/** Lets so much time pass that what is noted then counts as what a long-running owner would see. */
function settle(profile: LoadProfile): void {
  profile.record(0, 0);
  profile.decay(60_000);
}

/** Work by key, in milliseconds of a slot a second: few keys of the hot ones bring most of it. */
function createWork(): number[] {
  const ranks = Array.from(
    { length: HOT_KEYS },
    (_, rank) => 1 / (rank + 1) ** 0.6,
  );
  const total = ranks.reduce((sum, rank) => sum + rank, 0);
  const usual = WORK * 1_000 * (1 - HOT_SHARE) / KEY_COUNT;
  return Array.from({ length: KEY_COUNT }, (_, key) => {
    // Neighbours don't come in the order of their work.
    const rank = (key - FIRST_HOT_KEY) * 77 % HOT_KEYS;
    const isHot = key >= FIRST_HOT_KEY && key < FIRST_HOT_KEY + HOT_KEYS;
    return usual +
      (isHot ? WORK * 1_000 * HOT_SHARE * ranks[rank]! / total : 0);
  });
}

/** Owners that plan one after the other, each from what the others reported before. */
class Fleet {
  readonly owners: RangeMap<number>;
  private readonly profile = LoadProfile.create();

  constructor(work: readonly number[]) {
    const size = Math.ceil(KEY_COUNT / OWNERS);
    this.owners = RangeMap.createFrom(
      Array.from({ length: OWNERS }, (_, value) => ({
        from: value * size,
        to: Math.min(KEY_COUNT, (value + 1) * size) - 1,
        value,
      })),
    );
    settle(this.profile);
    work.forEach((workMs, key) => this.profile.record(key, workMs / Math.LN2));
  }

  rangesOf(owner: number): KeyRange[] {
    return this.owners.segments.filter(({ value }) => value === owner);
  }

  get loads(): OwnerLoad[] {
    return Array.from({ length: OWNERS }, (_, owner) => ({
      daemon: String(owner),
      utilization: this.profile.loadOf(this.rangesOf(owner)) / 1_000 / SLOTS,
      slots: SLOTS,
      serviceMs: 100,
    }));
  }

  get highest(): number {
    return Math.max(...this.loads.map(({ utilization }) => utilization));
  }

  /** One round of handovers; returns how many keys changed hands. */
  shed(): number {
    const { loads } = this;
    const moves = loads.flatMap((own) =>
      planRebalance(own, loads.filter((other) => other !== own), {
        ranges: this.rangesOf(Number(own.daemon)),
        profile: this.profile,
        keyless: new Set(),
      })
    );
    moves.forEach((move) => this.owners.set(move, Number(move.daemon)));
    return moves.reduce((sum, { from, to }) => sum + to - from + 1, 0);
  }
}

describe("shedding of hot keys in a large fleet", () => {
  // Symptom: with 30 owners, requests for hot keys are refused for as long as these are hot, while most
  // owners have nothing to do.
  // Sequence: 200 neighbouring keys get two fifths of the work; their owner has eight times what it can do.
  // Cause: it moved the keys of whole buckets only, each more than any other owner lacked, and to four
  // owners at a time.
  it("brings the hottest owner below its capacity within three rounds", () => {
    const fleet = new Fleet(createWork());
    expect(fleet.highest).to.be.above(7);
    const moved = [fleet.shed(), fleet.shed(), fleet.shed()];
    expect(fleet.highest).to.be.below(1.1);
    const keys = moved.reduce((sum, count) => sum + count, 0);
    expect(keys).to.be.below(KEY_COUNT / 20);
  });

  it("then rests", () => {
    const fleet = new Fleet(createWork());
    Array.from({ length: 6 }, () => fleet.shed());
    expect(fleet.shed()).to.be.below(HOT_KEYS / 4);
  });
});

/** Owners of few services: some hot at once, slow and fast ones, reports that are as old as one round. */
describe("shedding by several hot owners at once", () => {
  const SMALL_SLOTS = 12;
  const TIMES_MS = [400, 200, 400, 200, 200, 400];

  function createProfile(loads: readonly number[]): LoadProfile {
    const profile = LoadProfile.create();
    settle(profile);
    loads.forEach((load, owner) =>
      Array.from({ length: 100 }, (_, index) =>
        profile.record(
          owner * 1_000 + index,
          load * SMALL_SLOTS * 10 / Math.LN2,
        ))
    );
    return profile;
  }

  function planAll(loads: readonly number[]) {
    const profile = createProfile(loads);
    const owners = loads.map((utilization, index): OwnerLoad => ({
      daemon: `host-${index}`,
      utilization,
      slots: SMALL_SLOTS,
      serviceMs: TIMES_MS[index]!,
    }));
    const moves = owners.flatMap((own, index) =>
      planRebalance(own, owners.filter((other) => other !== own), {
        ranges: [{ from: index * 1_000, to: index * 1_000 + 999 }],
        profile,
        keyless: new Set(),
      }).map((move) => ({ ...move, giver: index }))
    );
    const after = owners.map(({ daemon, utilization }, index) => {
      const given = moves.filter(({ giver }) => giver === index)
        .reduce((sum, move) => sum + profile.loadOf([move]), 0);
      const taken = moves.filter((move) => move.daemon === daemon)
        .reduce((sum, { load }) => sum + load, 0);
      return utilization + (taken - given) / 1_000 / SMALL_SLOTS;
    });
    return { moves, after };
  }

  // Symptom: keys go back and forth, and each owner in turn is offered three times what it can do.
  // Sequence: two owners are hot; both see the same third as the coolest; both move to it what it lacks.
  // Cause: each planned as if it were the only one, and by the work of keys at its own speed.
  it("fills no taker beyond what all have on average", () => {
    const { after } = planAll([2.4, 1.6, 0.3, 0.2, 0.4, 0.5]);
    expect(Math.max(...after.slice(2))).to.be.below(1.15);
  });

  // Symptom: under overload two owners refuse two of three requests while the others have slots to spare.
  // Sequence: all together are offered more than they can do; the cool ones are filled to 0.8 only.
  // Cause: takers were kept below their capacity for the sake of the few requests that they would refuse.
  it("brings the hottest near the mean within three rounds, also under overload", () => {
    const first = planAll([3.2, 2.4, 0.6, 0.6, 0.7, 0.8]).after;
    const second = planAll(first).after;
    const third = planAll(second).after;
    expect(Math.max(...third)).to.be.below(1.6);
    expect(Math.min(...third)).to.be.above(0.9);
  });

  // Symptom: one key gets two fifths of all requests; for 5 s two of three of them are refused, and so are
  // requests for the other keys of its owner, while five owners have room.
  // Sequence: the key alone is four times what its owner, a slow one, can do; no taker would be cooler with
  // it than its owner without; what is left of the owner's keys is less than what the takers lack.
  // Cause: a key that overloads everybody was left where it was, and the keys beside it, too.
  it("brings a key that overloads everybody to a fast owner, and takes the rest away there", () => {
    const loads = [0.4, 0.5, 4.8, 0.6, 0.5, 0.6];
    const profile = createProfile(loads.map((load) => Math.min(load, 0.6)));
    const hotKey = 2_050;
    profile.record(hotKey, 4.2 * SMALL_SLOTS * 1_000 / Math.LN2);
    const plan = (giver: number, utilizations: readonly number[]) => {
      const owners = utilizations.map((utilization, index): OwnerLoad => ({
        daemon: `host-${index}`,
        utilization,
        slots: SMALL_SLOTS,
        serviceMs: TIMES_MS[index]!,
      }));
      return planRebalance(
        owners[giver]!,
        owners.filter((_, index) => index !== giver),
        {
          ranges: giver === 2 ? [{ from: 2_000, to: 2_999 }] : [
            { from: giver * 1_000, to: giver * 1_000 + 999 },
            { from: hotKey, to: hotKey },
          ],
          profile,
          keyless: new Set(),
        },
      );
    };
    const [first, ...more] = plan(2, loads);
    expect(first).to.include({ from: hotKey, to: hotKey, daemon: "host-1" });
    expect(more).to.deep.equal([]);
    const second = plan(1, [0.4, 2.6, 0.6, 0.6, 0.5, 0.6]);
    expect(second).to.have.length.above(0);
    expect(second.some(({ from, to }) => from <= hotKey && hotKey <= to))
      .to.equal(false);
  });
});
