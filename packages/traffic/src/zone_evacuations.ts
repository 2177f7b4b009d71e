/**
 * Which availability zones are evacuated, according to the latest update from the store or another daemon.
 *
 * Prevents a daemon that missed an update, or received updates out of order, from sending requests to servers that
 * operators have taken out of service, or from leaving other servers unused permanently.
 *
 * @module
 */

/** The evacuated zones as of one revision of the store. */
export interface EvacuationState {
  readonly revision: number;
  readonly zones: readonly string[];
}

/** The evacuation of one zone, or its end, at one revision of the store. */
export interface EvacuationChange {
  readonly revision: number;
  readonly zone: string;
  readonly isEvacuated: boolean;
}

/** The evacuated zones known to one daemon. */
export class ZoneEvacuations {
  private revision = -1;
  private zones: ReadonlySet<string> = new Set();

  private constructor() {}

  /** Creates an instance that has not received any state yet. */
  static create(): ZoneEvacuations {
    return new ZoneEvacuations();
  }

  /** Whether any state was received, even one without evacuated zones. */
  get isKnown(): boolean {
    return this.revision >= 0;
  }

  /** The latest state, to be sent to other daemons; `undefined` before any was received. */
  get state(): EvacuationState | undefined {
    const { revision } = this;
    return this.isKnown ? { revision, zones: [...this.zones] } : undefined;
  }

  /** Whether a zone is evacuated. */
  has(zone: string): boolean {
    return this.zones.has(zone);
  }

  /** Applies the complete state of a revision unless it is outdated; returns whether the set of zones changed. */
  replace({ revision, zones }: EvacuationState): boolean {
    if (revision <= this.revision) {
      return false;
    }
    this.revision = revision;
    return this.set(new Set(zones));
  }

  /** Applies one change unless it is outdated; returns whether the zone's state changed. */
  apply({ revision, zone, isEvacuated }: EvacuationChange): boolean {
    if (revision <= this.revision) {
      return false;
    }
    this.revision = revision;
    const others = [...this.zones].filter((other) => other !== zone);
    return this.set(new Set(isEvacuated ? [...others, zone] : others));
  }

  private set(zones: ReadonlySet<string>): boolean {
    const isSame = zones.size === this.zones.size &&
      [...zones].every((zone) => this.zones.has(zone));
    this.zones = zones;
    return !isSame;
  }
}
