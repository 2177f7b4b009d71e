/**
 * Writes configurations as operators do: routes are added, split, moved, removed and added again, and limits change.
 *
 * @module
 */
import {
  DEFAULT_REQUEST_LIMITS,
  encodeConfiguration,
  type MetadataStandin,
  type RequestLimits,
} from "@bamboolink/platform/testing";
import type { ConfigurationChangeKind } from "./fault_schedule.ts";
import type { ConfigurationVersion } from "./route_promises.ts";

/** Key of the operators' document. */
const DOCUMENT_KEY = "op/config";
/** Prefixes that every configuration of a fleet has. */
export const PERMANENT_PREFIXES: readonly string[] = [
  "plain",
  "orders",
  "keyed",
  "moved",
];
/** Number of routes that are added at once. */
const MANY_ROUTES = 300;
/** Limits that follow one another. */
const LIMITS: readonly RequestLimits[] = [
  DEFAULT_REQUEST_LIMITS,
  { maxHeaderBytes: 8_192, maxBodyBytes: 20_000 },
  { maxHeaderBytes: 40_000, maxBodyBytes: 200_000 },
  { maxHeaderBytes: 120_000, maxBodyBytes: 60_000 },
];

/** Writes the versions of a run's configuration and records what each allows. */
export class ConfigurationWriter {
  private readonly recorded: ConfigurationVersion[];
  private target = "plain";
  private addedPrefixes: readonly string[] = [];
  private removedPrefixes: readonly string[] = [];
  private limits = DEFAULT_REQUEST_LIMITS;

  private constructor(private readonly store: MetadataStandin) {
    this.recorded = [this.describe(1)];
  }

  /** Creates a writer for a store with the fleet's first configuration. */
  static create(store: MetadataStandin): ConfigurationWriter {
    return new ConfigurationWriter(store);
  }

  /** All versions, by the time of their writes. */
  get versions(): readonly ConfigurationVersion[] {
    return this.recorded;
  }

  /** The newest version. */
  get newest(): ConfigurationVersion {
    return this.recorded.at(-1)!;
  }

  /** Writes the next version with a change; returns it. */
  write(change: ConfigurationChangeKind | "none"): ConfigurationVersion {
    const number = this.newest.version + 1;
    this.apply(change, number);
    const version = this.describe(number);
    this.recorded.push(version);
    this.store.write(
      DOCUMENT_KEY,
      encodeConfiguration(
        number,
        this.target,
        this.addedPrefixes,
        this.limits,
      ),
    );
    return version;
  }

  private apply(
    change: ConfigurationChangeKind | "none",
    number: number,
  ): void {
    switch (change) {
      case "none":
        return;
      case "add_route":
        return this.addPrefixes([`added-${number}`]);
      case "add_many_routes":
        return this.addPrefixes(
          Array.from(
            { length: MANY_ROUTES },
            (_, index) => `many-${number}-${index}`,
          ),
        );
      case "split_route":
        return this.addPrefixes([`plain/part-${number}`]);
      case "move_route":
        this.target = this.target === "plain" ? "keyed" : "plain";
        return;
      case "remove_routes":
        this.removedPrefixes = this.addedPrefixes;
        this.addedPrefixes = [];
        return;
      case "add_routes_again":
        this.addPrefixes(this.removedPrefixes);
        this.removedPrefixes = [];
        return;
      case "change_limits":
        this.limits =
          LIMITS[(LIMITS.indexOf(this.limits) + 1) % LIMITS.length]!;
    }
  }

  private addPrefixes(prefixes: readonly string[]): void {
    this.addedPrefixes = [...new Set([...this.addedPrefixes, ...prefixes])];
  }

  /** The version as it is written now; the stand-in of the store acknowledges writes at once. */
  private describe(version: number): ConfigurationVersion {
    const nowMs = Date.now();
    return {
      version,
      prefixes: [...PERMANENT_PREFIXES, ...this.addedPrefixes]
        .map((prefix) => `/${prefix}/`),
      ...this.limits,
      writtenAtMs: nowMs,
      acknowledgedAtMs: nowMs,
    };
  }
}
