/**
 * This daemon's view of the fleet: its copy of the records and the state derived from them.
 *
 * @module
 */
import { validateDocument } from "@bamboolink/configuration";
import type { Logger } from "@bamboolink/logger";
import { rankWatchers } from "@bamboolink/ownership";
import { OwnershipTable, RequestMatcher } from "@bamboolink/routing";
import type {
  ConfigurationVersion,
  Service,
  SessionRecord,
} from "@bamboolink/types";
import {
  type Delta,
  type FleetState,
  readFleetState,
  View,
} from "@bamboolink/view";

/** The configuration in force, in the form that request routing uses. */
export interface ConfigurationInForce {
  readonly version: ConfigurationVersion;
  readonly matcher: RequestMatcher;
  readonly services: ReadonlyMap<string, Service>;
}

/** This daemon's view of the fleet. */
export class Fleet {
  private readonly view = View.create();
  private readonly listeners: (() => void)[] = [];
  private readonly reportedProblems = new Set<string>();
  private currentState: FleetState;
  private currentTable = OwnershipTable.create([]);
  private currentSessions: readonly SessionRecord[] = [];
  private currentWatchers: readonly SessionRecord[] = [];
  private inForce: ConfigurationInForce | undefined;

  private constructor(private readonly logger: Logger) {
    this.currentState = readFleetState(this.view);
  }

  /** Creates a view without records. */
  static create(logger: Logger): Fleet {
    return new Fleet(logger);
  }

  /** The decoded records. */
  get state(): FleetState {
    return this.currentState;
  }

  /** Owners of all partitions. */
  get table(): OwnershipTable {
    return this.currentTable;
  }

  /** The configuration in force; `undefined` before the first valid one. */
  get configuration(): ConfigurationInForce | undefined {
    return this.inForce;
  }

  /** The store revision up to which the copy is complete. */
  get revision(): number {
    return this.view.revision;
  }

  /** All session records. */
  get sessions(): readonly SessionRecord[] {
    return this.currentSessions;
  }

  /** Sessions that watch the store and may be elected planner, in their order of preference. */
  get watchers(): readonly SessionRecord[] {
    return this.currentWatchers;
  }

  /** The record of a session; `undefined` if there is none. */
  session(id: string): SessionRecord | undefined {
    return this.currentState.sessions.get(id)?.record;
  }

  /** Registers a callback for each change. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** The delta that brings a copy at an older revision up to date; `undefined` if there is none. */
  deltaSince(revision: number): Delta | undefined {
    return this.view.deltaSince(revision);
  }

  /** Merges a delta from the store or from another daemon; returns whether it was merged, old, or left a gap. */
  merge(delta: Delta): "merged" | "old" | "gap" {
    const outcome = this.view.merge(delta);
    if (outcome === "merged") {
      this.refresh(delta);
    }
    return outcome;
  }

  private refresh(delta: Delta): void {
    const before = this.currentState;
    this.currentState = readFleetState(this.view);
    this.currentSessions = [...this.currentState.sessions.values()].map((
      { record },
    ) => record);
    this.currentWatchers = rankWatchers(this.currentSessions);
    this.reportProblems();
    if (
      this.currentState.configuration?.revision !==
        before.configuration?.revision
    ) {
      this.useConfiguration();
    }
    if (
      delta.from === 0 ||
      delta.records.some((record) => record.key.includes("/table/"))
    ) {
      this.currentTable = OwnershipTable.create(
        this.currentState.shards.map((shard) => shard.record),
      );
    }
    this.listeners.forEach((listener) => listener());
  }

  /** Applies a newer configuration; if it is invalid, the last valid one stays in force. */
  private useConfiguration(): void {
    const version = this.currentState.configuration?.record.current;
    if (
      version === undefined ||
      version.version <= (this.inForce?.version.version ?? 0)
    ) {
      return;
    }
    const valid = validateDocument(version.document);
    if (valid.isErr()) {
      const problems = valid.error.map((problem) =>
        `${problem.path}: ${problem.message}`
      );
      this.logger.log("configuration_refused", {
        version: version.version,
        problems,
      });
      return;
    }
    this.inForce = {
      version,
      matcher: RequestMatcher.create(valid.value),
      services: new Map(
        valid.value.services.map((service) => [service.name, service]),
      ),
    };
    this.logger.log("configuration_in_force", {
      version: version.version,
      author: version.author,
    });
  }

  private reportProblems(): void {
    this.currentState.problems
      .filter((problem) => !this.reportedProblems.has(problem.key))
      .forEach((problem) => {
        this.reportedProblems.add(problem.key);
        this.logger.log("store_record_refused", { ...problem });
      });
  }
}
