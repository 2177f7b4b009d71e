/**
 * The servers and callers of a service whose hosts have all just started: cold servers that hold only cold keys.
 *
 * @module
 */
import { seededRandom } from "@bamboolink/simulation";

/** Work of single requests varies by this share of the mean, either way. */
const WORK_SPREAD = 0.3;

/** Parameters of a cold start; times are in milliseconds from the start of the servers. */
export interface ColdStartScenario {
  readonly owners: number;
  readonly slots: number;
  /** Requests per second of all callers together, from the start on. */
  readonly requestsPerSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** For how long servers are cold, and by which factor they are slower meanwhile. */
  readonly serverColdMs: number;
  readonly serverFactor: number;
  /** The same for keys; both factors apply to a cold key on a cold server. */
  readonly keyColdMs: number;
  readonly keyFactor: number;
  /** Maximum starts per second on a cold server; 0 for no limit. */
  readonly coldLimit: number;
  /** Whether a request keeps the speed with which it was started, or becomes faster with the server and the key. */
  readonly keepsInitialSpeed: boolean;
  readonly durationMs: number;
  readonly seed: number;
}

/** A request of a caller. */
export interface ScenarioRequest {
  readonly id: number;
  readonly owner: number;
  readonly arrivedAtMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Time that it takes on a warm server with warm keys, in milliseconds. */
  readonly workMs: number;
}

/** The deployment for which the admission after a loss of power is designed: 10 owners, 122 requests a second. */
export const BASE_SCENARIO: ColdStartScenario = {
  owners: 10,
  slots: 6,
  requestsPerSecond: 122,
  workMs: 133,
  objectiveMs: 633,
  deadlineMs: 1_582,
  serverColdMs: 3_000,
  serverFactor: 2,
  keyColdMs: 2_000,
  keyFactor: 4,
  coldLimit: 0,
  keepsInitialSpeed: true,
  durationMs: 8_000,
  seed: 1,
};

/** Draws the requests of a scenario: Poisson arrivals, each for a random owner. */
export function drawRequests(scenario: ColdStartScenario): ScenarioRequest[] {
  const { requestsPerSecond, durationMs, objectiveMs, deadlineMs } = scenario;
  const random = seededRandom(scenario.seed);
  const requests: ScenarioRequest[] = [];
  let arrivedAtMs = 0;
  while (true) {
    arrivedAtMs -= Math.log(1 - random()) * 1_000 / requestsPerSecond;
    if (arrivedAtMs >= durationMs) {
      return requests;
    }
    const atMs = Math.floor(arrivedAtMs);
    requests.push({
      id: requests.length,
      owner: Math.floor(random() * scenario.owners),
      arrivedAtMs: atMs,
      objectiveAtMs: atMs + objectiveMs,
      deadlineAtMs: atMs + deadlineMs,
      workMs: scenario.workMs * (1 - WORK_SPREAD + 2 * WORK_SPREAD * random()),
    });
  }
}

/** Factor by which a request is slower at a time than on a warm server with warm keys. */
export function factorAt(scenario: ColdStartScenario, atMs: number): number {
  return (atMs < scenario.serverColdMs ? scenario.serverFactor : 1) *
    (atMs < scenario.keyColdMs ? scenario.keyFactor : 1);
}

/** When a request that starts at a time ends, in milliseconds. */
export function endOf(
  scenario: ColdStartScenario,
  { workMs, startMs }: { workMs: number; startMs: number },
): number {
  if (scenario.keepsInitialSpeed) {
    return startMs + workMs * factorAt(scenario, startMs);
  }
  const changes = [scenario.keyColdMs, scenario.serverColdMs, Infinity]
    .filter((changeMs) => changeMs > startMs)
    .toSorted((left, right) => left - right);
  let atMs = startMs;
  let restMs = workMs;
  for (const changeMs of changes) {
    const factor = factorAt(scenario, atMs);
    if (atMs + restMs * factor <= changeMs) {
      break;
    }
    restMs -= (changeMs - atMs) / factor;
    atMs = changeMs;
  }
  return atMs + restMs * factorAt(scenario, atMs);
}
