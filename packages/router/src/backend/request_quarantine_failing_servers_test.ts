/**
 * Tests of how many backend servers a request crashes while other servers fail, and of harmless requests beside that, in
 * a simulated fleet.
 *
 * @module
 */
import { expect } from "chai";
import { Logger } from "@bamboolink/logger";
import {
  type QuarantineUpdate,
  RequestQuarantine,
} from "./request_quarantine.ts";
import { DAEMON_COUNT, LossyFleet, SEEDS } from "../testing/lossy_fleet.ts";
import { SAMPLE_REQUEST } from "../testing/sample_request.ts";
import type { RoutedRequest } from "../attempts/routed_request.ts";

/** HTTP statuses. */
const OK = 200;
const INTERNAL_SERVER_ERROR = 500;
const CRASH = { instance: "i-1", proof: "refused" } as const;
/** Interval between the copies of a request, and how long they arrive, in milliseconds. */
const ARRIVAL_INTERVAL_MS = 100;
const ARRIVAL_PERIOD_MS = 10_000;
/** Shares of the servers that fail, and of the requests that those fail before they run them. */
const FAILING_SERVERS_SHARE = 0.4;
const FAILED_REQUESTS_SHARE = 0.8;
/** Share of the runs of a harmless request during which the server crashes for another reason. */
const OTHER_CRASHES_SHARE = 0.02;
/** A third crash quarantines a request, and three more copies may reach servers before all daemons know. */
const MAX_CRASHES = 6;

type Fleet = LossyFleet<QuarantineUpdate, RequestQuarantine>;
/** What happens to a request at a server: a response with a status, or a crash. */
type Effect = number | "crash";

const createRequest = (target: string): RoutedRequest => ({
  ...SAMPLE_REQUEST,
  target,
});

const createFleet = (seed: number): Fleet =>
  LossyFleet.create(seed, (context) =>
    RequestQuarantine.create({
      ...context,
      logger: Logger.createRateLimited("test", { level: "error" }),
    }));

/** Runs a request at the server of one daemon. */
function runAt(
  daemon: RequestQuarantine,
  request: RoutedRequest,
  run: { isOnProbation: boolean; effect: Effect },
): void {
  if (run.effect !== "crash") {
    daemon.recordResponse(request, run.effect);
    return;
  }
  daemon.recordBrokenConnection(request, run.isOnProbation);
  daemon.recordBackendEnd(CRASH);
}

/**
 * Sends copies of a request to daemons chosen at random.
 *
 * @returns the effect of each copy; "withheld" for those that no server ran.
 */
function sendCopies(
  fleet: Fleet,
  request: RoutedRequest,
  effectAt: (server: number) => Effect,
): (Effect | "withheld")[] {
  const addresses = fleet.daemons.map((_, index) => `${index}`);
  const chooseAny = () => Math.floor(fleet.random() * DAEMON_COUNT);
  const count = ARRIVAL_PERIOD_MS / ARRIVAL_INTERVAL_MS;
  return Array.from({ length: count }, () => {
    fleet.run(ARRIVAL_INTERVAL_MS);
    const origin = fleet.daemons[chooseAny()]!;
    const { kind } = origin.classify(request);
    if (kind === "quarantined") {
      return "withheld";
    }
    const isOnProbation = kind === "suspect";
    const server = isOnProbation
      ? Number(origin.chooseProbation(request, addresses))
      : chooseAny();
    const effect = effectAt(server);
    runAt(fleet.daemons[server]!, request, { isOnProbation, effect });
    return effect;
  });
}

/** Makes some servers fail most of their requests before they run them. */
function failSometimes(fleet: Fleet, effect: () => Effect) {
  const failing = fleet.daemons.map(() =>
    fleet.random() < FAILING_SERVERS_SHARE
  );
  return (server: number): Effect =>
    failing[server] === true && fleet.random() < FAILED_REQUESTS_SHARE
      ? INTERNAL_SERVER_ERROR
      : effect();
}

describe("RequestQuarantine beside servers that fail", () => {
  // Guards against a request that crashes servers without limit, because failing servers respond to some of its copies.
  it("limits the crashes that a request causes", () => {
    const crashes = SEEDS.map((seed) => {
      const fleet = createFleet(seed);
      const effects = sendCopies(
        fleet,
        createRequest(`/lethal/${seed}`),
        failSometimes(fleet, () => "crash"),
      );
      return effects.filter((effect) => effect === "crash").length;
    });
    expect(Math.max(...crashes)).to.be.at.most(MAX_CRASHES);
  });

  it("withholds no harmless request while servers crash for other reasons", () => {
    const withheld = SEEDS.map((seed) => {
      const fleet = createFleet(seed);
      const effects = sendCopies(
        fleet,
        createRequest(`/harmless/${seed}`),
        failSometimes(
          fleet,
          () => fleet.random() < OTHER_CRASHES_SHARE ? "crash" : OK,
        ),
      );
      return effects.filter((effect) => effect === "withheld").length;
    });
    expect(withheld).to.deep.equal(SEEDS.map(() => 0));
  });
});
