/**
 * A sample ingress for tests.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import { Metrics } from "@bamboolink/metrics";
import type { Outcome, RoutedRequest } from "../attempts/routed_request.ts";
import type { RequestRunner } from "../attempts/request_runner.ts";
import { Ingress, type IngressContext } from "../ingress/ingress.ts";
import { LoopLag } from "../loop_lag.ts";
import type { CallerProtocol } from "../ports/caller_protocol.ts";

const STATUSES: Readonly<Record<string, number>> = {
  no_route: 404,
  too_large: 413,
  headers_too_large: 431,
  malformed: 400,
  not_run: 503,
};
/** Interval at which the sample ingress measures the event loop's lag, in milliseconds. */
export const TICK_MS = 50;

/**
 * Creates an ingress in front of `run`, which returns the outcome of each routed request.
 *
 * @param context the dependencies that the test observes or controls.
 */
export function createSampleIngress(
  run: (request: RoutedRequest) => Promise<Outcome>,
  context: Pick<
    IngressContext,
    "logger" | "configuration" | "configurationChecker"
  >,
): Ingress {
  return Ingress.create({
    ...context,
    protocol: {
      reservedHeaders: new Set<string>(),
      read: () => ({ id: "one", deadlineMs: 1_000, key: undefined }),
      write: ({ kind }) => ({
        status: STATUSES[kind] ?? 502,
        headers: {},
        body: kind,
      }),
    } as Partial<CallerProtocol> as CallerProtocol,
    metrics: Metrics.create(),
    runner: {
      run: async (request: RoutedRequest) => ({
        outcome: await run(request),
        peer: undefined,
        attempts: 1,
      }),
    } as unknown as RequestRunner,
    lag: LoopLag.create(TICK_MS, () => 0),
    random: () => 0.5,
    callerService: () => "caller",
  });
}

/** A logger that writes nothing. */
export const SILENT_LOGGER = {
  log: () => undefined,
} as Partial<Logger> as Logger;
