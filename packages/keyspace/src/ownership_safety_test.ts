/**
 * Property tests of sole ownership over random schedules, and of the properties themselves: each broken
 * variant of a rule must be noticed.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import {
  type Fault,
  type Step,
  STEP_KINDS,
  type StepKind,
  TenureWorld,
} from "./testing/ownership_simulation.ts";

const SEED = 20_261_203;
const RUNS = 400;
/** Schedules in which a planted fault must show at the latest. */
const RUNS_FOR_A_FAULT = 6_000;

const number = fc.nat(700);

function step(
  kind: StepKind,
  limits: { host?: fc.Arbitrary<number>; a?: fc.Arbitrary<number> } = {},
): fc.Arbitrary<Step> {
  return fc.record({
    kind: fc.constant(kind),
    host: limits.host ?? fc.nat(5),
    a: limits.a ?? number,
    b: number,
  });
}

/** One exact step. */
function exactly(kind: StepKind, host: number, a = 1, b = 0): Step {
  return { kind, host, a, b };
}

/** The first host takes a sealed owner over, and is granted its keys. */
const TAKEN_OVER: readonly Step[] = [
  exactly("take_over", 0),
  exactly("advance", 0, 3),
  exactly("confirm", 0),
  exactly("advance", 0, 3),
  exactly("heartbeat", 0),
  exactly("advance", 0, 20),
];

/** A spoiled record stands still all that ownership could do next, so it comes in a sequence that mends it. */
const EVERYDAY_KINDS = STEP_KINDS.filter((kind) => kind !== "spoil");

const anything = fc.constantFrom(...EVERYDAY_KINDS)
  .chain((kind) => step(kind))
  .map((one) => [one]);

/** All is well for a moment: everybody confirms and is heard. */
const calm = fc.constant(
  [0, 1, 2, 3].flatMap((host): Step[] => [
    { kind: "confirm", host, a: 2, b: 1 },
    { kind: "heartbeat", host, a: 1, b: 1 },
  ]).concat([{ kind: "advance", host: 0, a: 100, b: 0 }]),
);

/** Somebody is sealed, and taken over at the first moment that may be right. */
const takeover = fc.nat(3).chain((host) =>
  fc.tuple(
    step("confirm", { host: fc.constant(host) }),
    step("advance", { a: fc.nat(20) }),
    step("seal", { host: fc.constant(host) }),
    step("advance", { a: fc.constant(3) }),
    anything.map(([one]) => one!),
    step("advance", { a: fc.integer({ min: 2_540, max: 2_600 }) }),
    step("take_over", { host: fc.constant(host) }),
    step("advance", { a: fc.constant(3) }),
    step("confirm", { host: fc.constant(host), a: fc.constant(1) }),
    step("advance", { a: fc.constant(3) }),
    step("heartbeat", { host: fc.constant(host), a: fc.constant(1) }),
    step("advance", { a: fc.nat(40) }),
  )
);

/** Keys are handed over, with whatever happens in between. */
const handover = fc.nat(3).chain((host) =>
  fc.tuple(
    step("release", { host: fc.constant(host) }),
    step("heartbeat", { host: fc.constant(host) }),
    step("advance", { a: fc.nat(30) }),
    anything.map(([one]) => one!),
    step("heartbeat", { host: fc.constant(host) }),
    step("advance", { a: fc.nat(30) }),
    step("publish", { host: fc.constant(host) }),
    step("advance", { a: fc.nat(30) }),
  )
);

/** The backend server and its daemon are replaced. */
const replacement = fc.nat(3).chain((host) =>
  fc.tuple(
    step("crash_server", { host: fc.constant(host) }),
    step("restart_daemon", { host: fc.constant(host) }),
    step("advance", { a: fc.constant(4) }),
    step("heartbeat", { host: fc.constant(host), a: fc.constant(1) }),
    step("advance", { a: fc.constant(20) }),
  )
);

/** The backend server starts again under its id, perhaps while keys are given up. */
const sameId = fc.tuple(fc.nat(3), fc.boolean(), fc.nat(600)).map((
  [host, releases, wait],
) => [
  exactly("heartbeat", host),
  exactly("advance", 0, 2),
  ...(releases ? [exactly("release", host)] : []),
  exactly("restart_server", host),
  ...[0, 1, 2, 3].flatMap(() => [
    exactly("confirm", host),
    exactly("heartbeat", host),
    exactly("advance", 0, 220),
  ]),
  exactly("advance", 0, wait),
  exactly("publish", host, 1, 1),
  exactly("advance", 0, 3),
]);

/** An owner that is heard but can't confirm is taken over as its tenure ends. */
const lastMoment = fc.tuple(fc.nat(30), fc.integer({ min: 540, max: 700 }))
  .map(([early, late]) => [
    exactly("confirm", 1),
    exactly("advance", 0, 1),
    exactly("seal", 0),
    exactly("advance", 0, 1),
    exactly("advance", 0, 1_870 + early),
    exactly("heartbeat", 1),
    exactly("advance", 0, late),
    ...TAKEN_OVER,
  ]);

/** The answer to an owner's read comes late; it is sealed meanwhile, and taken over at the first moment. */
const slowRead = fc.tuple(fc.integer({ min: 400, max: 700 }), fc.nat(40))
  .map(([backMs, late]) => [
    exactly("confirm", 1, 1, backMs),
    exactly("advance", 0, 1),
    exactly("seal", 0),
    exactly("advance", 0, 1),
    exactly("advance", 0, 2_530),
    exactly("heartbeat", 1),
    exactly("advance", 0, 5 + late),
    ...TAKEN_OVER,
  ]);

/** Another daemon reads for an owner, which is sealed and taken over at the first moment. */
const sharedRead = fc.tuple(
  fc.nat(40),
  fc.nat(399),
  fc.integer({ min: 100, max: 400 }),
).map((
  [late, gather, more],
) => [
  ...[0, 1, 2, 3].map((host) => exactly("confirm", host)),
  exactly("advance", 0, 1),
  exactly("seal", 0),
  exactly("advance", 0, 1 + more),
  exactly("shared_confirm", 1, gather, 0),
  exactly("advance", 0, 2_530 - more),
  exactly("heartbeat", 1),
  exactly("advance", 0, 5 + late),
  ...TAKEN_OVER,
]);

/** An owner removes a seal, and is sealed again before the first who sealed it has looked. */
const sealedTwice = fc.tuple(fc.nat(200), fc.nat(40))
  .map(([wait, more]) => [
    exactly("confirm", 0),
    exactly("advance", 0, 2),
    exactly("seal", 0),
    exactly("advance", 0, 2),
    exactly("advance", 0, 2_000 - wait),
    exactly("confirm", 1),
    exactly("advance", 0, 2),
    exactly("unseal", 1),
    exactly("advance", 0, 2),
    exactly("confirm", 1),
    exactly("confirm", 2),
    exactly("advance", 0, 2),
    exactly("seal", 2, 1, 1),
    exactly("advance", 0, 2),
    exactly("confirm", 0),
    exactly("advance", 0, 560 + wait),
    exactly("heartbeat", 1),
    exactly("advance", 0, more),
    ...TAKEN_OVER,
  ]);

/** Keys are given up just after the daemon, or its backend server, was replaced. */
const hasty = fc.tuple(fc.boolean(), fc.nat(260)).map(([crashes, wait]) => [
  exactly("heartbeat", 0),
  exactly("advance", 0, 2),
  ...(crashes
    ? [
      exactly("crash_server", 0),
      exactly("advance", 0, 2),
      exactly("heartbeat", 0),
    ]
    : [exactly("restart_daemon", 0)]),
  exactly("advance", 0, 3 + wait),
  exactly("release", 0),
  exactly("publish", 0, 1, 1),
  exactly("advance", 0, 3),
  exactly("confirm", 0),
  exactly("confirm", 1),
  exactly("confirm", 2),
  exactly("advance", 0, 3),
  exactly("heartbeat", 1),
  exactly("heartbeat", 2),
  exactly("advance", 0, 20),
]);

/** All confirm and are heard for so many seconds. */
function live(seconds: number): Step[] {
  const round = [0, 1, 2, 3].flatMap((host): Step[] => [
    exactly("confirm", host),
    exactly("heartbeat", host),
  ]);
  return Array.from(
    { length: seconds },
    () => [...round, exactly("advance", 0, 250)],
  ).flat();
}

/** An arbiter seals an owner, and takes it over at the first moment that may be right. */
function quickTakeover(
  late: { heartbeatAfter: number; askedAfter: number; more: number },
): Step[] {
  const { heartbeatAfter, askedAfter, more } = late;
  const left = 1_030 - heartbeatAfter - askedAfter;
  return [
    exactly("confirm", 1),
    exactly("advance", 0, 1),
    exactly("seal", 0),
    exactly("advance", 0, 1),
    exactly("advance", 0, askedAfter),
    exactly("ask", 1, 1, 0),
    exactly("advance", 0, heartbeatAfter),
    exactly("heartbeat", 1),
    exactly("advance", 0, Math.max(1, left + more)),
    ...TAKEN_OVER,
  ];
}

const quickMoments = fc.record({
  heartbeatAfter: fc.nat(20),
  askedAfter: fc.integer({ min: 900, max: 1_000 }),
  more: fc.nat(20),
});

/** An owner that can't read the store asks for promises after it was taken over, perhaps by a restarted arbiter. */
const missedTakeover = fc.tuple(fc.boolean(), quickMoments).map((
  [restarts, late],
) => [
  exactly("appoint", 0, 0, 1),
  exactly("advance", 0, 2),
  ...live(11),
  ...quickTakeover(late),
  ...(restarts
    ? [
      exactly("restart_daemon", 0),
      exactly("advance", 0, 3),
      exactly("heartbeat", 0),
    ]
    : []),
  exactly("advance", 0, 3),
  exactly("ask", 1, 1, 0),
  exactly("advance", 0, 2),
  exactly("heartbeat", 1),
  exactly("advance", 0, 20),
]);

/** Keys are taken over and given back, and their first owner has missed both. */
const missedReturn = quickMoments.map((late) => [
  exactly("appoint", 0, 0, 1),
  exactly("advance", 0, 2),
  ...live(11),
  ...quickTakeover(late),
  exactly("release", 0),
  exactly("advance", 0, 2_540),
  exactly("publish", 0, 1, 1),
  exactly("advance", 0, 3),
  exactly("confirm", 1),
  exactly("advance", 0, 3),
  exactly("heartbeat", 1),
  exactly("advance", 0, 20),
]);

/** With one arbiter, or two of which the second has not heard of the seal. */
const arbiter = fc.tuple(fc.nat(1), quickMoments).map(([choice, late]) => [
  exactly("appoint", 0, choice, 1),
  exactly("advance", 0, 2),
  ...live(11),
  ...quickTakeover(late),
]);

/** An owner reads the record before the arbiter is named. */
const newArbiter = quickMoments.map((late) => [
  ...live(1),
  exactly("appoint", 0, 0, 1),
  exactly("advance", 0, 2),
  exactly("seal", 0),
  exactly("advance", 0, 1),
  ...quickTakeover({ ...late, askedAfter: 700 }).slice(4),
]);

/** A promise is asked for before the seal, and comes late. */
const latePromise = fc.tuple(
  fc.integer({ min: 500, max: 700 }),
  quickMoments,
).map(([backMs, late]) => [
  exactly("appoint", 0, 0, 1),
  exactly("advance", 0, 2),
  ...live(11),
  exactly("confirm", 1),
  exactly("advance", 0, 1),
  exactly("ask", 1, 1, backMs),
  exactly("advance", 0, 1),
  ...quickTakeover(late).slice(2),
]);

/** An arbiter is none for a moment, in which an owner reads the record. */
const formerArbiter = quickMoments.map((late) => [
  exactly("appoint", 0, 0, 1),
  exactly("advance", 0, 2),
  ...live(11),
  exactly("appoint", 2, 0, 0),
  exactly("advance", 0, 2),
  exactly("confirm", 1),
  exactly("advance", 0, 2),
  exactly("appoint", 2, 2, 0),
  exactly("advance", 0, 2),
  exactly("confirm", 0),
  exactly("advance", 0, 2),
  ...quickTakeover(late).slice(2),
]);

/**
 * Keys move, a daemon misses that, and another writer spoils the record; the daemon writes back what it knows, as early
 * as it may.
 */
const spoiled = fc.tuple(
  fc.nat(1),
  fc.nat(40),
  fc.integer({ min: 2_520, max: 2_620 }),
  anything,
).map(([kind, more, wait, between]) => [
  exactly("heartbeat", 0),
  exactly("advance", 0, 2),
  exactly("release", 0),
  exactly("heartbeat", 0),
  exactly("advance", 0, 2),
  exactly("heartbeat", 0),
  exactly("advance", 0, 2),
  exactly("publish", 0, 1, 1),
  exactly("advance", 0, 3),
  exactly("confirm", 1),
  exactly("advance", 0, 3),
  exactly("spoil", 0, 1, kind),
  exactly("confirm", 2),
  exactly("advance", 0, 3),
  exactly("repair", 2, 1, 1),
  exactly("heartbeat", 1),
  exactly("advance", 0, more),
  exactly("confirm", 0),
  exactly("advance", 0, 3),
  exactly("heartbeat", 0),
  exactly("advance", 0, wait - more),
  ...between,
  exactly("repair", 2, 1, 1),
  exactly("heartbeat", 1),
  exactly("advance", 0, 3),
  exactly("confirm", 0),
  exactly("advance", 0, 3),
  exactly("heartbeat", 0),
  exactly("advance", 0, 20),
]);

/** The copies that a host knows of are put back as early as may be, and settled as early as may be. */
function restoreBy(host: number): Step[] {
  return [
    exactly("confirm", host),
    exactly("advance", 0, 180),
    exactly("restore", host, 1, 1),
    exactly("advance", 0, 2),
    exactly("confirm", host),
    exactly("advance", 0, 3),
  ];
}

/** One host alone reads, and is heard. */
function hear(host: number): Step[] {
  return [
    exactly("confirm", host),
    exactly("advance", 0, 3),
    exactly("heartbeat", host),
    exactly("advance", 0, 5),
  ];
}

/** All read, and are heard. */
function hearAll(): Step[] {
  return [
    ...[0, 1, 2, 3].map((host) => exactly("confirm", host)),
    exactly("advance", 0, 3),
    ...[0, 1, 2, 3].map((host) => exactly("heartbeat", host)),
    exactly("advance", 0, 20),
  ];
}

/** Keys move, and the store loses that; a host that has missed it puts back what it knows. */
const lostMove = fc.tuple(
  fc.nat(2),
  fc.nat(40),
  fc.integer({ min: 1, max: 2_700 }),
  anything,
).map(([by, more, wait, between]) => [
  exactly("heartbeat", 0),
  exactly("advance", 0, 2),
  exactly("release", 0),
  exactly("heartbeat", 0),
  exactly("advance", 0, 2),
  exactly("heartbeat", 0),
  exactly("advance", 0, 2),
  exactly("publish", 0, 1, 0),
  exactly("advance", 0, 3),
  ...hear(1),
  exactly("go_back", 0, 0),
  ...restoreBy(by),
  exactly("settle", by),
  exactly("advance", 0, 3),
  ...hear(0),
  exactly("heartbeat", 1),
  exactly("advance", 0, more),
  ...hearAll(),
  ...between,
  exactly("advance", 0, wait),
  exactly("settle", by),
  exactly("advance", 0, 3),
  ...hearAll(),
]);

/** An owner is taken over and the store loses that; the owner, which was suspended, wakes after the return. */
const lostTakeover = fc.tuple(
  fc.nat(2),
  fc.nat(3),
  fc.integer({ min: 1, max: 2_700 }),
  anything,
).map(([by, lost, wait, between]) => [
  exactly("confirm", 1),
  exactly("advance", 0, 1),
  exactly("suspend", 1, 560),
  exactly("seal", 0),
  exactly("advance", 0, 2_600),
  ...TAKEN_OVER,
  exactly("confirm", 0),
  exactly("advance", 0, 3),
  exactly("heartbeat", 0),
  exactly("advance", 0, 2),
  exactly("go_back", 0, lost),
  exactly("restart_daemon", by),
  exactly("advance", 0, 3),
  ...restoreBy(by),
  exactly("advance", 0, 120),
  ...hear(1),
  ...hearAll(),
  ...between,
  exactly("advance", 0, wait),
  exactly("settle", by),
  exactly("advance", 0, 3),
  ...hearAll(),
]);

/** An office is given to another arbiter, and the store loses that; the former arbiter has missed it. */
const lostOffice = quickMoments.map((late) => [
  exactly("appoint", 0, 0, 1),
  exactly("advance", 0, 2),
  ...live(11),
  exactly("appoint", 2, 2, 0),
  exactly("advance", 0, 2),
  exactly("confirm", 1),
  exactly("advance", 0, 2),
  exactly("go_back", 0, 0),
  ...restoreBy(0),
  exactly("seal", 0),
  exactly("advance", 0, 1),
  ...quickTakeover(late).slice(4),
]);

const schedule = fc.record({
  size: fc.integer({ min: 2, max: 4 }),
  steps: fc.array(
    fc.oneof(
      { weight: 4, arbitrary: anything },
      { weight: 3, arbitrary: calm },
      { weight: 2, arbitrary: takeover },
      { weight: 2, arbitrary: handover },
      { weight: 1, arbitrary: replacement },
      { weight: 1, arbitrary: sameId },
      { weight: 1, arbitrary: lastMoment },
      { weight: 1, arbitrary: slowRead },
      { weight: 1, arbitrary: sharedRead },
      { weight: 1, arbitrary: sealedTwice },
      { weight: 1, arbitrary: hasty },
      { weight: 1, arbitrary: missedReturn },
      { weight: 1, arbitrary: arbiter },
      { weight: 1, arbitrary: missedTakeover },
      { weight: 1, arbitrary: newArbiter },
      { weight: 1, arbitrary: latePromise },
      { weight: 1, arbitrary: formerArbiter },
      { weight: 1, arbitrary: spoiled },
      { weight: 1, arbitrary: lostMove },
      { weight: 1, arbitrary: lostTakeover },
      { weight: 1, arbitrary: lostOffice },
    ),
    { maxLength: 25 },
  ).map((parts) => parts.flat()),
});

function findViolation(fault: Fault | undefined, runs: number): string[] {
  const found: string[] = [];
  const property = fc.property(schedule, ({ size, steps }) => {
    const world = TenureWorld.create(size, fault);
    world.play(steps);
    found.push(...world.violations.slice(0, 1));
    return world.violations.length === 0;
  });
  fc.check(property, { seed: SEED, numRuns: runs, endOnFailure: true });
  return found;
}

describe("sole ownership by tenure", () => {
  describe("under any schedule of delays, crashes, suspensions and outages", () => {
    it("never lets two backend servers hold a key, and never reuses a token", () => {
      expect(findViolation(undefined, RUNS)).to.deep.equal([]);
    });
  });

  describe("while nothing fails", () => {
    it("keeps all keys held", () => {
      const world = TenureWorld.create(3);
      const rounds = Array.from(
        { length: 60 },
        () =>
          [0, 1, 2].flatMap((host): Step[] => [
            { kind: "confirm", host, a: 2, b: 1 },
            { kind: "heartbeat", host, a: 1, b: 1 },
          ]).concat([{ kind: "advance", host: 0, a: 200, b: 0 }]),
      );
      world.play(rounds.flat());
      expect(world.heldKeys).to.equal(65_536);
      expect(world.violations).to.deep.equal([]);
    });
  });

  describe("when an owner is lost", () => {
    it("lets an arbiter have its keys after the short tenure", () => {
      const world = TenureWorld.create(3);
      const owner = 1;
      const others = live(11);
      const withoutOwner = others.filter(({ kind, host }) =>
        kind === "advance" || host !== owner
      );
      world.play([
        exactly("appoint", 0, 0, 1),
        exactly("advance", 0, 2),
        ...others,
        exactly("seal", 0),
        ...withoutOwner.slice(0, withoutOwner.length * 5 / 11),
        exactly("take_over", 0),
        exactly("advance", 0, 3),
        exactly("confirm", 0),
        exactly("advance", 0, 3),
        exactly("heartbeat", 0),
        exactly("advance", 0, 3),
      ]);
      expect(world.heldKeys).to.equal(65_536);
      expect(world.violations).to.deep.equal([]);
    });
  });

  describe("while the store is down", () => {
    it("lets owners go on as long as the arbiters promise, up to the longest tenure", () => {
      const world = TenureWorld.create(3);
      const rounds = (seconds: number) =>
        live(seconds).map((one) =>
          one.kind === "confirm" ? { ...one, kind: "ask" as const } : one
        );
      world.play([
        exactly("appoint", 0, 0, 1),
        exactly("advance", 0, 2),
        ...live(3),
        exactly("outage", 0, 2_000),
        ...rounds(8),
      ]);
      expect(world.heldKeys).to.equal(65_536);
      expect(world.violations).to.deep.equal([]);
    });
  });

  describe("when another writer has spoiled the record", () => {
    it("lets all keys be held again once it is replaced after the longest tenure", () => {
      const world = TenureWorld.create(3);
      world.play([
        ...live(2),
        exactly("spoil", 0, 1, 0),
        ...live(11),
        exactly("repair", 2, 1, 1),
        exactly("advance", 0, 2),
        ...live(2),
      ]);
      expect(world.heldKeys).to.equal(65_536);
      expect(world.violations).to.deep.equal([]);
    });
  });

  describe("when the store comes back from an older copy", () => {
    const returned = (settles: readonly Step[]) => [
      ...live(2),
      exactly("go_back", 0, 0),
      ...restoreBy(2),
      ...live(11),
      ...settles,
      ...live(2),
    ];

    it("keeps all keys held meanwhile, and once the record is settled", () => {
      const settled = [exactly("settle", 2), exactly("advance", 0, 2)];
      [[], settled].forEach((settles) => {
        const world = TenureWorld.create(3);
        world.play(returned(settles));
        expect(world.heldKeys).to.equal(65_536);
        expect(world.violations).to.deep.equal([]);
      });
    });
  });

  describe("with a broken rule", () => {
    const faults: Fault[] = [
      "tenure_from_answer",
      "steady_clock",
      "takeover_without_drift",
      "takeover_at_once",
      "nameless_seal",
      "release_unfreed",
      "forgetful_restart",
      "tokens_from_record",
      "promise_from_answer",
      "any_promise",
      "promise_under_seal",
      "arbiter_at_once",
      "nameless_office",
      "read_before_question",
      "tokens_outlive_tenure",
      "promise_after_takeover",
      "promise_after_restart",
      "id_names_process",
      "repair_at_once",
      "order_without_era",
      "copy_in_force",
      "restored_in_force",
      "restored_confirms_all",
      "settle_at_once",
    ];
    faults.forEach((fault) => {
      it(`notices ${fault}`, function () {
        this.timeout(120_000);
        expect(findViolation(fault, RUNS_FOR_A_FAULT)).to.have.length.above(0);
      });
    });
  });
});
