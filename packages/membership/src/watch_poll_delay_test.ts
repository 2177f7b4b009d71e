/**
 * Simulation of how long a change of the store remains unknown to daemons whose watches' connections become silent.
 *
 * @module
 */
import { expect } from "chai";
import { WatchPollCoordinator } from "./watch_poll_coordinator.ts";
import { WatchPollSchedule } from "./watch_poll_schedule.ts";

/** A change must be known within this time after it was acknowledged, in milliseconds. */
const MAX_DELAY_MS = 2_000;
/** Time after connections became silent from which on changes must be known in time, in milliseconds. */
const SETTLING_MS = 3_000;
/** Time allowed for a poll's response beyond its timeout, in milliseconds. */
const RESPONSE_MARGIN_MS = 600;
/** Timeout of the poll that fetches missed changes over a new connection, in milliseconds. */
const IMMEDIATE_TIMEOUT_MS = 1;
const SIMULATED_MS = 60_000;
/** Time after which all daemons that start together know each other, in milliseconds. */
const MAX_DISCOVERY_MS = 1_000;
/** Time after which a frozen daemon counts as dead, in milliseconds. */
const DETECTION_MS = 2_000;
/** Maximum delay of an announcement, in milliseconds. */
const MAX_ANNOUNCEMENT_DELAY_MS = 20;
/** No change takes place later, so that all become known within the simulated time. */
const LAST_CHANGE_MS = SIMULATED_MS - 10_000;
const RUN_COUNT = 40;
/** Times within which connections become silent, in milliseconds after the daemons have started together. */
const SILENT_WHILE_STARTING_MS = { min: 0, max: 10_000 };
const SILENT_WHEN_SETTLED_MS = { min: 25_000, max: 35_000 };
/** Response times of the store in milliseconds: the typical one, a slow one, and one that is 150 times as long. */
const TYPICAL_LATENCY_MS = 4;
const SLOW_LATENCY_MS = 240;
const MAX_LATENCY_MS = 600;

/** A pseudo-random generator that returns the same numbers in each run. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

interface Scenario {
  readonly daemonCount: number;
  readonly latencyMs: number;
  /** Share of the announcements that are lost. */
  readonly lossShare: number;
  /** Share of the daemons whose connections become silent. */
  readonly silentShare: number;
  readonly silentAtMs: number;
  /** Whether one daemon freezes when the connections become silent. */
  readonly hasFrozenDaemon: boolean;
}

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/** A look at the store: it shows all changes that were acknowledged before `asOfMs`. */
interface Observation {
  readonly asOfMs: number;
  readonly receivedAtMs: number;
}

interface SimulatedDaemon {
  readonly coordinator: WatchPollCoordinator;
  readonly address: string;
  readonly discoveredAtMs: number;
  readonly isFrozen: boolean;
  readonly becomesSilent: boolean;
  /** When the connection in use was opened, in milliseconds. */
  connectedAtMs: number;
}

/**
 * Simulates watches without changes, and returns each renewal's look at the store. The fleet knows a change once a poll
 * that was renewed after it has its response; responses to polls that wait longer are left out, as silent connections
 * don't deliver them.
 */
function simulate(
  scenario: Scenario,
  random: () => number,
): Observation[] {
  const { daemonCount, latencyMs, lossShare } = scenario;
  const { silentShare, silentAtMs, hasFrozenDaemon } = scenario;
  const observations: Observation[] = [];
  /** Pending events, the last ones first. */
  const events: Event[] = [];
  const schedule = (atMs: number, run: () => void) => {
    const laterCount = events.findLastIndex((event) => event.atMs > atMs) + 1;
    events.splice(laterCount, 0, { atMs, run });
  };
  const daemons = Array.from({ length: daemonCount }, (_, index) => {
    const address = `host-${String(index).padStart(3, "0")}`;
    return {
      coordinator: WatchPollCoordinator.create(
        address,
        WatchPollSchedule.create(random),
      ),
      address,
      discoveredAtMs: random() * MAX_DISCOVERY_MS,
      isFrozen: hasFrozenDaemon && index === 0,
      becomesSilent: index >= daemonCount * (1 - silentShare),
      connectedAtMs: 0,
    } satisfies SimulatedDaemon;
  });
  const poll = (
    daemon: SimulatedDaemon,
    nowMs: number,
    endedUnchanged: boolean,
  ) => {
    if (daemon.isFrozen && nowMs >= silentAtMs) {
      return;
    }
    const others = daemons.filter((other) =>
      other !== daemon && nowMs >= daemon.discoveredAtMs &&
      nowMs >= other.discoveredAtMs &&
      !(other.isFrozen && nowMs >= silentAtMs + DETECTION_MS)
    );
    const timeoutMs = daemon.coordinator.nextTimeoutMs({
      nowMs,
      others: others.map(({ address }) => address),
      endedUnchanged,
    });
    others.filter(() => random() >= lossShare).forEach(({ coordinator }) => {
      const delayMs = random() * MAX_ANNOUNCEMENT_DELAY_MS;
      schedule(
        nowMs + delayMs,
        () =>
          coordinator.recordPlan(daemon.address, nowMs + delayMs + timeoutMs),
      );
    });
    const endsAtMs = nowMs + timeoutMs + latencyMs;
    const isSilent = daemon.becomesSilent &&
      daemon.connectedAtMs <= silentAtMs && endsAtMs > silentAtMs;
    if (!isSilent) {
      const asOfMs = endsAtMs - latencyMs / 2;
      observations.push({ asOfMs, receivedAtMs: endsAtMs });
      schedule(endsAtMs, () => poll(daemon, endsAtMs, true));
      return;
    }
    const failedAtMs = nowMs + timeoutMs + RESPONSE_MARGIN_MS;
    schedule(failedAtMs, () => {
      if (daemon.isFrozen) {
        return;
      }
      const receivedAtMs = failedAtMs + IMMEDIATE_TIMEOUT_MS + latencyMs;
      const asOfMs = receivedAtMs - latencyMs / 2;
      daemon.connectedAtMs = Math.max(failedAtMs, silentAtMs + 1);
      observations.push({ asOfMs, receivedAtMs });
      schedule(receivedAtMs, () => poll(daemon, receivedAtMs, true));
    });
  };
  daemons.forEach((daemon) => schedule(0, () => poll(daemon, 0, false)));
  while (events.length > 0) {
    const { atMs, run } = events.pop()!;
    if (atMs <= SIMULATED_MS) {
      run();
    }
  }
  return observations;
}

/** The longest time from the acknowledgement of a change, or the end of settling, until the change is known. */
function findMaxDelayMs(
  observations: readonly Observation[],
  silentAtMs: number,
): number {
  const countedFromMs = silentAtMs + SETTLING_MS;
  const lastFirst = observations.toSorted((left, right) =>
    right.asOfMs - left.asOfMs
  );
  let knownAtMs = Infinity;
  let maxDelayMs = 0;
  lastFirst.forEach(({ asOfMs, receivedAtMs }, index) => {
    knownAtMs = Math.min(knownAtMs, receivedAtMs);
    // The change that waits the longest for this look was acknowledged just after the look before it.
    const changedAtMs = Math.max(
      lastFirst[index + 1]?.asOfMs ?? 0,
      silentAtMs,
    );
    if (asOfMs > changedAtMs && changedAtMs <= LAST_CHANGE_MS) {
      const delayMs = knownAtMs - Math.max(changedAtMs, countedFromMs);
      maxDelayMs = Math.max(maxDelayMs, delayMs);
    }
  });
  return maxDelayMs;
}

/** The maximum delay over several runs. */
function simulateRuns(
  scenario: Omit<Scenario, "silentAtMs">,
  silentMs: { min: number; max: number },
): number {
  const random = seededRandom(scenario.daemonCount);
  const delaysMs = Array.from({ length: RUN_COUNT }, () => {
    const silentAtMs = silentMs.min +
      Math.floor(random() * (silentMs.max - silentMs.min));
    const observations = simulate({ ...scenario, silentAtMs }, random);
    return findMaxDelayMs(observations, silentAtMs);
  });
  return Math.max(...delaysMs);
}

function itIsKnownInTime(
  scenario: Omit<Scenario, "silentAtMs">,
  silentMs: { min: number; max: number },
): void {
  const { daemonCount, lossShare, silentShare, hasFrozenDaemon } = scenario;
  const details = [
    `${daemonCount} daemons`,
    `${silentShare * 100} % silent`,
    `${lossShare * 100} % of the announcements lost`,
    ...(hasFrozenDaemon ? ["one frozen"] : []),
  ].join(", ");
  // Guards against daemons that all rely on each other's renewals while none takes place.
  it(`is known in time: ${details}`, () => {
    expect(simulateRuns(scenario, silentMs)).to.be.at.most(MAX_DELAY_MS);
  }).timeout(20_000);
}

/** Scenarios of fleets in which all or some connections become silent. */
function listScenarios(
  daemonCounts: readonly number[],
  latencyMs: number,
): Omit<Scenario, "silentAtMs">[] {
  return daemonCounts.flatMap((daemonCount) =>
    [0, 0.1].flatMap((lossShare) =>
      [1, 0.7].flatMap((silentShare) =>
        [false, true].filter((isFrozen) => !isFrozen || daemonCount > 2)
          .map((hasFrozenDaemon) => ({
            daemonCount,
            latencyMs,
            lossShare,
            silentShare,
            hasFrozenDaemon,
          }))
      )
    )
  );
}

describe("a change of the store while connections are silent", () => {
  describe("of daemons that have just started", () => {
    listScenarios([1, 2, 3, 14, 40], TYPICAL_LATENCY_MS).forEach((scenario) =>
      itIsKnownInTime(scenario, SILENT_WHILE_STARTING_MS)
    );
  });

  [SLOW_LATENCY_MS, MAX_LATENCY_MS].forEach((latencyMs) => {
    describe(`of few daemons that have just started, with a store of ${latencyMs} ms`, () => {
      listScenarios([1, 2, 3], latencyMs).forEach((scenario) =>
        itIsKnownInTime(scenario, SILENT_WHILE_STARTING_MS)
      );
    });
  });

  [SLOW_LATENCY_MS, MAX_LATENCY_MS].forEach((latencyMs) => {
    describe(`of daemons that have run for a while, with a store of ${latencyMs} ms`, () => {
      listScenarios([14], latencyMs).forEach((scenario) =>
        itIsKnownInTime(scenario, SILENT_WHEN_SETTLED_MS)
      );
    });
  });
});
