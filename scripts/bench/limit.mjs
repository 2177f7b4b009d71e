/**
 * Measures what callers get while one of six backend servers advertises a limit of a quarter of its usual load.
 *
 *     npm run bench -- limit plain|keyed|both [LIMITED_MS [PAUSE_MS REPETITIONS]]
 *
 * The daemons are separate processes; the store and the backend servers are stand-ins in this process. Requests are
 * offered at a steady rate to all daemons in turn, without retries by callers.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFleet } from "../../platform/dist/testing/mod.js";

const NETWORK = 151;
const SERVERS = 6;
/** Requests per second to all servers together. */
const OFFERED_PER_SECOND = 240;
/** Share of its usual load that the limited server takes. */
const LIMITED_SHARE = 0.25;
/** Time before the limit, in milliseconds; the first seconds of it warm the daemons up and are not measured. */
const WARM_UP_MS = 6_000;
const USUAL_MS = 5_000;
const DEFAULT_LIMITED_MS = 10_000;
/** Time after the limit, in milliseconds. */
const AFTER_MS = 10_000;
/** Window in which requests to the limited server are counted, in milliseconds. */
const WINDOW_MS = 4_000;
/** Time from which requests count after the limit was first stated, in milliseconds. */
const STABILITY_MS = 3_000;
const DEADLINE_MS = 1_500;
/** Step between consecutive keys; coprime to their number, so that all keys are used. */
const KEY_STEP = 7_919;
const KEY_COUNT = 65_536;
/** Keys whose holders are compared to count the moved ones. */
const SAMPLED_KEYS = Array.from({ length: 512 }, (_, index) => index * 128);
const HOLDER_CHECK_MS = 100;
/** Share of its usual load from which the server counts as back to it. */
const RECOVERED_SHARE = 0.8;

/** Runs the benchmark; returns the exit code. */
export async function run([service = "both", ...times]) {
  const [limitedMs = DEFAULT_LIMITED_MS, pauseMs = 0, repetitions = 1] = times
    .map(Number);
  const services = service === "both" ? ["plain", "keyed"] : [service];
  for (const name of services) {
    const figures = await measure(name, { limitedMs, pauseMs, repetitions });
    console.log(JSON.stringify({ service: name, ...figures }));
  }
  return 0;
}

async function measure(service, { limitedMs, pauseMs, repetitions }) {
  const names = Array.from({ length: SERVERS }, () => service);
  // The fleet is ready once its route `plain` is served.
  const fleet = await PlatformFleet.create(
    service === "plain" ? names : [...names, "plain"],
    NETWORK,
  );
  try {
    return await runPhases(fleet, {
      service,
      limitedMs,
      pauseMs,
      repetitions,
    });
  } finally {
    await fleet.close();
  }
}

async function runPhases(fleet, options) {
  const { service, limitedMs, pauseMs, repetitions } = options;
  const sent = [];
  const holders = watchHolders(fleet);
  const load = offerLoad(fleet, service, sent);
  await sleep(WARM_UP_MS);
  const usualFromMs = Date.now();
  await sleep(USUAL_MS);
  const limited = fleet.hosts.find((host) => host.service === service).backend;
  const limitedFromMs = Date.now();
  const usualPerSecond = rateOf(limited, usualFromMs, limitedFromMs);
  const limit = usualPerSecond * LIMITED_SHARE;
  const movedBefore = holders.movedKeys;
  for (let count = 0; count < repetitions; count += 1) {
    limited.advertisedLimit = limit.toFixed(2);
    await sleep(limitedMs);
    limited.advertisedLimit = undefined;
    await sleep(count + 1 < repetitions ? pauseMs : 0);
  }
  const endedMs = Date.now();
  const movedWhileLimited = holders.movedKeys - movedBefore;
  await sleep(AFTER_MS);
  await load.stop();
  holders.stop();
  const during = sent.filter(({ atMs }) =>
    atMs >= limitedFromMs && atMs < endedMs
  );
  const refused = during.filter(({ status }) => status !== 200);
  return {
    usual_per_second: round(usualPerSecond),
    limit: round(limit),
    served_before: servedShare(
      sent.filter(({ atMs }) => atMs >= usualFromMs && atMs < limitedFromMs),
    ),
    served_limited: servedShare(during),
    served_after: servedShare(sent.filter(({ atMs }) => atMs >= endedMs)),
    allowed_in_window: round(1.5 * limit * WINDOW_MS / 1_000 + 5),
    most_in_window: countInWindow(
      limited.arrivals.filter((atMs) =>
        atMs >= limitedFromMs + STABILITY_MS && atMs < endedMs
      ),
    ),
    median_refusal_ms: quantile(refused.map(({ tookMs }) => tookMs), 0.5),
    slowest_refusal_ms: Math.max(0, ...refused.map(({ tookMs }) => tookMs)),
    p99_ms: quantile(during.map(({ tookMs }) => tookMs), 0.99),
    refusals: countBy(
      fleet.findEvents("request_not_run").filter(({ time }) =>
        Date.parse(time) >= limitedFromMs && Date.parse(time) < endedMs
      ),
      ({ reason }) => reason,
    ),
    moved_keys_share: round(movedWhileLimited / SAMPLED_KEYS.length),
    recovered_after_ms: findRecovery(limited, { endedMs, usualPerSecond }),
    rate_at_end: rateOf(limited, Date.now() - 3_000, Date.now()),
    most_after_in_second: countInWindow(
      limited.arrivals.filter((atMs) => atMs >= endedMs),
      1_000,
    ),
  };
}

function offerLoad(fleet, service, sent) {
  const hosts = fleet.hosts.filter((host) => host.service === service);
  const startedAtMs = Date.now();
  const pending = new Set();
  let count = 0;
  const send = async (index) => {
    const atMs = Date.now();
    const key = service === "keyed"
      ? { key: index * KEY_STEP % KEY_COUNT }
      : {};
    const { status } = await fleet.send(hosts[index % hosts.length], {
      path: `/${service}/${index}`,
      deadlineMs: DEADLINE_MS,
      ...key,
    });
    sent.push({ atMs, status, tookMs: Date.now() - atMs });
  };
  const timer = setInterval(() => {
    const due = (Date.now() - startedAtMs) / 1_000 * OFFERED_PER_SECOND;
    for (; count < due; count += 1) {
      const request = send(count).finally(() => pending.delete(request));
      pending.add(request);
    }
  }, 5);
  return {
    stop: async () => {
      clearInterval(timer);
      await Promise.all(pending);
    },
  };
}

/** Counts how often sampled keys pass to another server. */
function watchHolders(fleet) {
  const holders = new Map();
  const state = { movedKeys: 0, stop: () => clearInterval(timer) };
  const timer = setInterval(() => {
    fleet.keyedHosts.forEach(({ backend }) =>
      backend.held.forEach(({ from, to }) =>
        SAMPLED_KEYS.filter((key) => from <= key && key <= to).forEach(
          (key) => {
            const previous = holders.get(key) ?? backend.instance;
            state.movedKeys += previous === backend.instance ? 0 : 1;
            holders.set(key, backend.instance);
          },
        )
      )
    );
  }, HOLDER_CHECK_MS);
  return state;
}

function countInWindow(arrivals, windowMs = WINDOW_MS) {
  return Math.max(
    0,
    ...arrivals.map((from) =>
      arrivals.filter((atMs) => atMs >= from && atMs < from + windowMs).length
    ),
  );
}

/** Time after the end of the limit until the first second in which the server gets about its usual load. */
function findRecovery({ arrivals }, { endedMs, usualPerSecond }) {
  const steps = Array.from(
    { length: AFTER_MS / 100 - 10 },
    (_, index) => index * 100,
  );
  return steps.find((stepMs) =>
    arrivals.filter((atMs) =>
      atMs >= endedMs + stepMs && atMs < endedMs + stepMs + 1_000
    ).length >= usualPerSecond * RECOVERED_SHARE
  );
}

function rateOf({ arrivals }, fromMs, untilMs) {
  const count = arrivals.filter((atMs) => atMs >= fromMs && atMs < untilMs)
    .length;
  return round(count * 1_000 / (untilMs - fromMs));
}

function servedShare(requests) {
  const served = requests.filter(({ status }) => status === 200);
  return Math.round(served.length / requests.length * 10_000) / 10_000;
}

function quantile(values, share) {
  return values.toSorted((left, right) => left - right)[
    Math.floor(values.length * share)
  ];
}

function countBy(values, keyOf) {
  const counts = {};
  values.map(keyOf).forEach((key) => counts[key] = (counts[key] ?? 0) + 1);
  return counts;
}

function round(value) {
  return Math.round(value * 100) / 100;
}
