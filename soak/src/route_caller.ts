/**
 * Callers that know every version of the configuration: they send requests that the newest one allows.
 *
 * @module
 */
import { Readable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetHost, PlatformFleet } from "@bamboolink/platform/testing";
import type { CompletedRequest } from "./guarantee_check.ts";
import {
  type ConfigurationVersion,
  findVersionsPossiblyInForce,
  type JudgedRequest,
  type RunHistory,
} from "./route_promises.ts";

/** Pause between two requests of a caller, in milliseconds. */
const REQUEST_INTERVAL_MS = 15;
/** Pause between two requests on a new route at one daemon, in milliseconds. */
const PROBE_INTERVAL_MS = 50;
const DEADLINE_MS = 1_200;
/** Upper bound on the head of a request apart from its padding, in bytes. */
const HEAD_BYTES = 1_024;
/** Largest body that is sent, in bytes. */
const MAX_SENT_BODY_BYTES = 150_000;
const KEY_COUNT = 65_536;
/** Kinds of requests that callers send in turn. */
const REQUEST_KINDS = [
  "permanent_route",
  "moved_route",
  "newest_route",
  "any_route",
  "large_body",
  "chunked_body",
  "long_head",
] as const;

/** A proper request. */
interface ProperRequest {
  readonly path: string;
  readonly method: "GET" | "POST";
  readonly key?: number;
  readonly bodyBytes: number;
  readonly isChunked: boolean;
  /** Bytes of the head beyond `HEAD_BYTES`. */
  readonly paddingBytes: number;
}

/** How long it took until a daemon served a new route. */
export interface RouteDelay {
  readonly version: number;
  readonly address: string;
  /** Time from the write to the first response of a backend server, in milliseconds; `undefined` if there was none. */
  readonly delayMs: number | undefined;
  /** Number of responses with status 404 later than the older versions may be in force at a daemon in touch. */
  readonly lateDenials: number;
}

/** Sends proper requests and keeps their responses. */
export class RouteCaller {
  readonly completedRequests: CompletedRequest[] = [];
  readonly judgedRequests: JudgedRequest[] = [];
  readonly routeDelays: RouteDelay[] = [];
  private readonly probes: Promise<void>[] = [];
  private isStopped = false;

  private constructor(
    private readonly fleet: PlatformFleet,
    private readonly findNewest: () => ConfigurationVersion,
  ) {}

  /** Creates a caller; `findNewest` returns the newest version of the configuration. */
  static create(
    fleet: PlatformFleet,
    findNewest: () => ConfigurationVersion,
  ): RouteCaller {
    return new RouteCaller(fleet, findNewest);
  }

  /** Sends requests to the hosts in turn until `stop`. */
  async run(callerIndex: number): Promise<void> {
    const { hosts } = this.fleet;
    for (let count = callerIndex; !this.isStopped; count += 1) {
      await this.send(
        hosts[count % hosts.length]!,
        this.createRequest(callerIndex, count),
      );
      await sleep(REQUEST_INTERVAL_MS);
    }
  }

  /** Starts to measure when each daemon serves the newest route of a version. */
  measure(version: ConfigurationVersion): void {
    this.probes.push(
      ...this.fleet.hosts.map((host) => this.probe(host, version)),
    );
  }

  /** Ends all requests; resolves when none is in flight. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.probes);
  }

  private async probe(
    host: FleetHost,
    version: ConfigurationVersion,
  ): Promise<void> {
    const prefix = version.prefixes.at(-1)!;
    let delayMs: number | undefined;
    let lateDenials = 0;
    const hasRoute = () => this.findNewest().prefixes.includes(prefix);
    for (
      let count = 0;
      delayMs === undefined && !this.isStopped && hasRoute();
      count += 1
    ) {
      const { status, sentAtMs, completedAtMs } = await this.send(host, {
        ...PLAIN_REQUEST,
        path: `${prefix}probe-${count}`,
      });
      if (status === 200) {
        delayMs = completedAtMs - version.writtenAtMs;
      }
      if (status === 404 && isLate({ sentAtMs, completedAtMs, version })) {
        lateDenials += 1;
      }
      await sleep(PROBE_INTERVAL_MS);
    }
    this.routeDelays.push({
      version: version.version,
      address: host.address,
      delayMs,
      lateDenials,
    });
  }

  private createRequest(callerIndex: number, count: number): ProperRequest {
    const { prefixes, maxBodyBytes, maxHeaderBytes } = this.findNewest();
    const kind = REQUEST_KINDS[count % REQUEST_KINDS.length]!;
    const suffix = `r${callerIndex}-${count}`;
    const bodyBytes = Math.min(maxBodyBytes, MAX_SENT_BODY_BYTES);
    switch (kind) {
      case "permanent_route":
        return { ...PLAIN_REQUEST, path: `/plain/${suffix}` };
      case "moved_route":
        return {
          ...PLAIN_REQUEST,
          path: `/moved/${suffix}`,
          key: count * 104_729 % KEY_COUNT,
        };
      case "newest_route":
        return {
          ...PLAIN_REQUEST,
          path: `${prefixes.at(-1)}${suffix}`,
          key: count * 104_729 % KEY_COUNT,
        };
      case "any_route":
        return {
          ...PLAIN_REQUEST,
          path: `${prefixes[count * 7_919 % prefixes.length]}${suffix}`,
          key: count * 104_729 % KEY_COUNT,
        };
      case "large_body":
      case "chunked_body":
        return {
          ...PLAIN_REQUEST,
          path: `/orders/${suffix}`,
          method: "POST",
          bodyBytes,
          isChunked: kind === "chunked_body",
        };
      case "long_head":
        return {
          ...PLAIN_REQUEST,
          path: `/plain/${suffix}`,
          paddingBytes: maxHeaderBytes - HEAD_BYTES,
        };
    }
  }

  private async send(
    host: FleetHost,
    proper: ProperRequest,
  ): Promise<JudgedRequest> {
    const { path, method, key, bodyBytes, isChunked, paddingBytes } = proper;
    const sentAtMs = Date.now();
    const body = "b".repeat(bodyBytes);
    const response = await this.fleet.send(host, {
      path,
      method,
      deadlineMs: DEADLINE_MS,
      ...(key === undefined ? {} : { key }),
      ...(bodyBytes === 0
        ? {}
        : { body: isChunked ? Readable.from([body]) : body }),
      ...(paddingBytes === 0
        ? {}
        : { headers: { "x-padding": "p".repeat(paddingBytes) } }),
    });
    const judged = {
      id: response.id,
      address: host.address,
      path,
      headerBytes: HEAD_BYTES + paddingBytes,
      bodyBytes,
      sentAtMs,
      completedAtMs: Date.now(),
      status: response.status,
    };
    this.judgedRequests.push(judged);
    this.completedRequests.push({
      ...response,
      method,
      path,
      requestBody: body,
    });
    return judged;
  }
}

const PLAIN_REQUEST: ProperRequest = {
  path: "/plain/",
  method: "GET",
  bodyBytes: 0,
  isChunked: false,
  paddingBytes: 0,
};

/** Whether only `version` can be in force at a daemon in touch while it handles a request, unless a newer one is. */
function isLate(
  { sentAtMs, completedAtMs, version }: {
    sentAtMs: number;
    completedAtMs: number;
    version: ConfigurationVersion;
  },
): boolean {
  const older = { ...version, version: version.version - 1, writtenAtMs: 0 };
  const history: RunHistory = { versions: [older, version], disturbances: [] };
  return findVersionsPossiblyInForce(
    { address: "", sentAtMs, completedAtMs },
    history,
  ).length === 1;
}
