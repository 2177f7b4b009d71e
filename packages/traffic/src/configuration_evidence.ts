/**
 * Tracks until when a daemon's configuration is known to have been the newest one.
 *
 * Final responses such as "no such route" rest on the absence of a record. They are true only if the configuration that
 * lacks the record is current, which a daemon cannot conclude from silence of the store.
 *
 * @module
 */

/**
 * How long evidence justifies final responses, in milliseconds: half of the time in which a change of the configuration
 * must be in force.
 */
export const MAX_EVIDENCE_AGE_MS = 1_000;

/** An observation of the newest configuration in the store. */
export interface ConfigurationObservation {
  readonly version: number;
  /** When the store certainly held no newer version, in milliseconds on a clock that includes suspensions. */
  readonly observedAtMs: number;
}

/** The most recent observation of the store's configuration by one daemon. */
export class ConfigurationEvidence {
  private latest: ConfigurationObservation = {
    version: -Infinity,
    observedAtMs: -Infinity,
  };

  private constructor() {}

  /** Creates an instance without any observation. */
  static create(): ConfigurationEvidence {
    return new ConfigurationEvidence();
  }

  /** The most recent observation; `observedAtMs` is `-Infinity` if there is none. */
  get observation(): ConfigurationObservation {
    return this.latest;
  }

  /** Records an observation unless a more recent one is known. */
  record(observation: ConfigurationObservation): void {
    if (observation.observedAtMs > this.latest.observedAtMs) {
      this.latest = observation;
    }
  }

  /** Age of the evidence that `version` is the newest one, in milliseconds; infinite if there is none. */
  ageMs(version: number, nowMs: number): number {
    return version === this.latest.version
      ? Math.max(0, nowMs - this.latest.observedAtMs)
      : Infinity;
  }

  /** Whether a record's absence from `version` justifies a final response. */
  isRecent(version: number, nowMs: number): boolean {
    return this.ageMs(version, nowMs) <= MAX_EVIDENCE_AGE_MS;
  }
}
