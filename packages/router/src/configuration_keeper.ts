/**
 * Puts the newest configuration in force that this daemon can learn of, from the store or from peers,
 * and never an older one after a newer one.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import type { MemberReport } from "@bamboolink/membership";
import { PrefixRouter } from "@bamboolink/traffic";
import type { TrafficConfiguration, TrafficService } from "@bamboolink/types";
import { steadyMs } from "./clock.ts";
import type { PeerClient } from "./peer_client.ts";
import type { ConfigurationDocument } from "./ports/configuration_document.ts";

/** The configuration in force, ready for use. */
export interface ConfigurationInForce {
  readonly configuration: TrafficConfiguration;
  readonly router: PrefixRouter;
  readonly services: ReadonlyMap<string, TrafficService>;
  /** The document as it came, for peers that can't reach the store. */
  readonly text: string;
}

/** What the keeper needs. */
export interface ConfigurationKeeperContext {
  readonly document: ConfigurationDocument;
  readonly logger: Logger;
  readonly questions: PeerClient;
  readonly onChange: (inForce: ConfigurationInForce) => void;
}

/** The configuration of one daemon. */
export class ConfigurationKeeper {
  private current: ConfigurationInForce | undefined;
  private isAsking = false;
  private inForceSinceMs = steadyMs();

  private constructor(private readonly context: ConfigurationKeeperContext) {}

  /** Creates a keeper without a configuration. */
  static create(context: ConfigurationKeeperContext): ConfigurationKeeper {
    return new ConfigurationKeeper(context);
  }

  /** The configuration in force, if there is one. */
  get inForce(): ConfigurationInForce | undefined {
    return this.current;
  }

  /** The version in force; -1 without one. */
  get version(): number {
    return this.current?.configuration.version ?? -1;
  }

  /** For how long the version has been in force, or there has been none, in milliseconds. */
  ageMs(nowMs: number): number {
    return nowMs - this.inForceSinceMs;
  }

  /** Takes a document; one that can't be read, or is older, leaves all as it is. */
  take(text: string, source: string): void {
    const { document, logger } = this.context;
    document.decode(text).match(
      (configuration) => this.apply(configuration, { text, source }),
      (cause) => logger.log("configuration_unreadable", { source, cause }),
    );
  }

  /** A daemon says which version is in force there; asks it for the document if that is newer. */
  notePeer(report: MemberReport): void {
    if (report.configurationVersion <= this.version || this.isAsking) {
      return;
    }
    this.isAsking = true;
    void this.context.questions.fetchConfiguration(report.forwardAddress)
      .match(
        (text) => this.take(text, report.address),
        (cause) =>
          this.context.logger.log("peer_question_failed", {
            peer: report.address,
            cause,
          }),
      )
      .finally(() => {
        this.isAsking = false;
      });
  }

  private apply(
    configuration: TrafficConfiguration,
    origin: { text: string; source: string },
  ): void {
    if (configuration.version <= this.version) {
      return;
    }
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
      text: origin.text,
    };
    this.inForceSinceMs = steadyMs();
    this.context.onChange(this.current);
  }
}
