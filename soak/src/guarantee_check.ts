/**
 * Checks the router's guarantees against the responses that callers received and the runs and keys of backend servers.
 *
 * @module
 */
import type { PlatformFleet } from "@bamboolink/platform/testing";

/** A request of a caller and its response. */
export interface CompletedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** Status of the response, 0 if there was none. */
  readonly status: number;
  readonly body: string;
  /** Body of the request; none by default. */
  readonly requestBody?: string;
}

/** Longest part of a response that a message quotes. */
const MAX_QUOTED_CHARACTERS = 200;
/** Response statuses which guarantee that no backend server has run the request. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Returns a message for each range of keys that two live backend servers hold at the same time. */
export function findDoubleHolds(fleet: PlatformFleet): string[] {
  const { hosts } = fleet;
  return hosts.flatMap(({ address, backend }, index) =>
    hosts.slice(index + 1).flatMap((other) =>
      backend.held.flatMap(({ from, to }) =>
        other.backend.held
          .filter((otherHold) => otherHold.from <= to && otherHold.to >= from)
          .map((otherHold) =>
            `${address} and ${other.address} both hold key ${
              Math.max(from, otherHold.from)
            }`
          )
      )
    )
  );
}

/** Returns a message for each violated guarantee about requests; call it when no request is in flight. */
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
        ? [`${request.id} was refused with ${request.status} but ran`]
        : []),
      ...(request.status === 200 &&
          request.body !==
            `${request.method} ${request.path} ${request.requestBody ?? ""}`
        ? [
          `${request.id} received the response of another request: ${
            request.body.slice(0, MAX_QUOTED_CHARACTERS)
          }`,
        ]
        : []),
    ];
  });
}
