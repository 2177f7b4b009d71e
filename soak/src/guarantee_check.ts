/**
 * Checks the promises from what callers and backend servers see.
 *
 * @module
 */
import type { PlatformFleet } from "@bamboolink/platform/testing";

/** What a caller asked and got. */
export interface CompletedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly status: number;
  readonly body: string;
}

/** Statuses that promise that a request has not run. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Keys that two living backend servers hold at this moment. */
export function findDoubleHolds(fleet: PlatformFleet): string[] {
  const { hosts } = fleet;
  return hosts.flatMap(({ address, backend }, index) =>
    hosts.slice(index + 1).flatMap((other) =>
      backend.held.flatMap(({ from, to }) =>
        other.backend.held
          .filter((hold) => hold.from <= to && hold.to >= from)
          .map((hold) =>
            `${address} and ${other.address} both hold ${
              Math.max(from, hold.from)
            }`
          )
      )
    )
  );
}

/** Broken promises about requests, once no request is under way. */
export function findRequestViolations(
  fleet: PlatformFleet,
  completedRequests: readonly CompletedRequest[],
): string[] {
  const runCounts = new Map<string, number>();
  fleet.ledger.forEach(({ id }) =>
    runCounts.set(id, (runCounts.get(id) ?? 0) + 1)
  );
  return completedRequests.flatMap((request) => {
    const runCount = runCounts.get(request.id) ?? 0;
    const isNonIdempotent = request.method === "POST";
    return [
      ...(isNonIdempotent && runCount > 1
        ? [`${request.id} ran ${runCount} times`]
        : []),
      ...(isNonIdempotent && runCount > 0 &&
          REFUSAL_STATUSES.has(request.status)
        ? [`${request.id} was refused with ${request.status} and ran`]
        : []),
      ...(request.status === 200 &&
          request.body !== `${request.method} ${request.path} `
        ? [`${request.id} got the answer of another: ${request.body}`]
        : []),
    ];
  });
}
