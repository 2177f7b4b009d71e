/**
 * Applies the newest configuration that this daemon receives from the store or from peers. The version in force never
 * decreases.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import type { MemberReport } from "@bamboolink/membership";
import {
  PrefixRouter,
  restoreUnreadableRows,
  UnreadableRows,
} from "@bamboolink/traffic";
import type {
  TrafficConfiguration,
  TrafficRoute,
  TrafficService,
} from "@bamboolink/types";
import { monotonicMs } from "../clock.ts";
import type { PeerClient } from "../members/peer_client.ts";
import type { ConfigurationDocument } from "../ports/configuration_document.ts";

/** The configuration in force, with lookups derived from it. */
export interface ConfigurationInForce {
  readonly configuration: TrafficConfiguration;
  readonly router: PrefixRouter;
  readonly services: ReadonlyMap<string, TrafficService>;
  /** The rank of the least urgent route to each service. */
  readonly leastUrgentRanks: ReadonlyMap<string, number>;
  /** The rows of the document that neither it nor the version before it could supply. */
  readonly unreadable: UnreadableRows;
  /** The document as received, for peers that can't reach the store. */
  readonly text: string;
}

/** Dependencies of a configuration manager. */
export interface ConfigurationManagerContext {
  readonly document: ConfigurationDocument;
  readonly logger: Logger;
  readonly peerClient: PeerClient;
  readonly onChange: (inForce: ConfigurationInForce) => void;
}

/** Holds the configuration of one daemon. */
export class ConfigurationManager {
  private current: ConfigurationInForce | undefined;
  private fetching: Promise<void> | undefined;
  private inForceSinceMs = monotonicMs();
  private highestReportedVersion = -1;

  private constructor(private readonly context: ConfigurationManagerContext) {}

  /** Creates a manager without a configuration. */
  static create(context: ConfigurationManagerContext): ConfigurationManager {
    return new ConfigurationManager(context);
  }

  /** The configuration in force, if there is one. */
  get inForce(): ConfigurationInForce | undefined {
    return this.current;
  }

  /** The version in force; -1 if there is none. */
  get version(): number {
    return this.current?.configuration.version ?? -1;
  }

  /**
   * Whether another daemon is known to have a newer version. A store that was restored from an older snapshot may lack
   * that version.
   */
  get isSuperseded(): boolean {
    return this.highestReportedVersion > this.version;
  }

  /** How long the version has been in force, or how long there has been none, in milliseconds. */
  ageMs(nowMs: number): number {
    return nowMs - this.inForceSinceMs;
  }

  /**
   * Applies a document if its version is newer. One that can't be decoded is logged and ignored; rows that can't be
   * decoded are logged and completed from the version before, where that is safe.
   *
   * @param source where the document came from, for the log: `store` or a peer's address.
   */
  applyDocument(text: string, source: string): void {
    const { document, logger } = this.context;
    if (text === this.current?.text) {
      return;
    }
    document.decode(text).match(
      (configuration) => this.apply(configuration, { text, source }),
      (cause) => logger.log("configuration_unreadable", { source, cause }),
    );
  }

  /** Fetches the document from a peer if its report shows a newer version. */
  handlePeerReport(report: MemberReport): void {
    this.recordReportedVersion(report.configurationVersion);
    if (report.configurationVersion > this.version) {
      void this.fetch(report.peerAddress);
    }
  }

  /** Records that another daemon has observed a version. */
  recordReportedVersion(version: number): void {
    this.highestReportedVersion = Math.max(
      this.highestReportedVersion,
      version,
    );
  }

  /** Fetches the document from a peer; resolves when it was applied or has failed. Only one fetch runs at a time. */
  fetch(peerAddress: string): Promise<void> {
    this.fetching ??= this.fetchAndApply(peerAddress).finally(() => {
      this.fetching = undefined;
    });
    return this.fetching;
  }

  private async fetchAndApply(peer: string): Promise<void> {
    const { peerClient, logger } = this.context;
    const fetched = await peerClient.fetchConfiguration(peer);
    fetched.match(
      (text) => this.applyDocument(text, peer),
      (cause) => logger.log("peer_question_failed", { peer, cause }),
    );
  }

  private apply(
    decoded: TrafficConfiguration,
    origin: { text: string; source: string },
  ): void {
    if (decoded.version <= this.version) {
      return;
    }
    const configuration = restoreUnreadableRows(
      decoded,
      this.current?.configuration,
    );
    this.logUnreadableRows(decoded, configuration);
    this.context.logger.log("traffic_configuration_in_force", {
      version: configuration.version,
      before: this.version,
      source: origin.source,
      routes: configuration.routes.length,
    });
    this.current = {
      configuration,
      router: PrefixRouter.create(configuration.routes),
      services: new Map(
        configuration.services.map((service) => [service.name, service]),
      ),
      leastUrgentRanks: findLeastUrgentRanks(configuration.routes),
      unreadable: UnreadableRows.create(configuration),
      text: origin.text,
    };
    this.inForceSinceMs = monotonicMs();
    this.context.onChange(this.current);
  }

  private logUnreadableRows(
    decoded: TrafficConfiguration,
    restored: TrafficConfiguration,
  ): void {
    const { logger } = this.context;
    const logRows = (
      table: string,
      rows: readonly { name?: string | undefined; reason: string }[],
      missingRows: readonly unknown[],
    ) =>
      rows.forEach((row) =>
        logger.log("configuration_row_unreadable", {
          version: decoded.version,
          table,
          row: row.name,
          reason: row.reason,
          completed: !missingRows.includes(row),
        })
      );
    logRows("routes", decoded.unreadableRoutes, restored.unreadableRoutes);
    logRows(
      "services",
      decoded.unreadableServices,
      restored.unreadableServices,
    );
  }
}

function findLeastUrgentRanks(
  routes: readonly TrafficRoute[],
): Map<string, number> {
  const ranks = new Map<string, number>();
  routes.forEach(({ rank, targets }) =>
    targets.forEach(({ service }) =>
      ranks.set(service, Math.max(rank, ranks.get(service) ?? 0))
    )
  );
  return ranks;
}
