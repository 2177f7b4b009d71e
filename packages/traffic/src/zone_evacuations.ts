/**
 * Which availability zones are evacuated, by the newest word of the store or of another daemon.
 *
 * Guards against a daemon that missed a change, or was told in another order than it happened, sending to servers that
 * operators have taken out of service, or leaving others unused for good.
 *
 * @module
 */

/** The evacuated zones as of one revision of the store. */
export interface EvacuationState {
  readonly revision: number;
  readonly zones: readonly string[];
}

/** One zone is evacuated, or taken back. */
export interface EvacuationChange {
  readonly revision: number;
  readonly zone: string;
  readonly isEvacuated: boolean;
}

/** The evacuated zones as one daemon knows them. */
export class ZoneEvacuations {
  private revision = -1;
  private zones: ReadonlySet<string> = new Set();

  private constructor() {}

  /** Creates one that has not been told anything. */
  static create(): ZoneEvacuations {
    return new ZoneEvacuations();
  }

  /** Whether anything was told, if only that no zone is evacuated. */
  get isKnown(): boolean {
    return this.revision >= 0;
  }

  /** What is known, for other daemons; `undefined` before anything was told. */
  get state(): EvacuationState | undefined {
    const { revision } = this;
    return this.isKnown ? { revision, zones: [...this.zones] } : undefined;
  }

  /** Whether a zone is evacuated. */
  has(zone: string): boolean {
    return this.zones.has(zone);
  }

  /** Takes the whole state as of a revision; returns whether any zone's changed. */
  replace({ revision, zones }: EvacuationState): boolean {
    if (revision <= this.revision) {
      return false;
    }
    this.revision = revision;
    return this.set(new Set(zones));
  }

  /** Takes one change; returns whether the zone's state changed. */
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
