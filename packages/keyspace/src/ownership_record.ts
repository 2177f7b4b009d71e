/**
 * The record in the store that assigns the keys of one service to daemons' backend servers.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { err, ok, type Result } from "neverthrow";
import {
  decodeStoredRecord,
  type StoredRange,
  type StoredRecord,
} from "./ownership_record_codec.ts";
import {
  intersect,
  KEY_COUNT,
  type KeyRange,
  RangeMap,
  type Segment,
} from "./range_map.ts";

/** The owner of a range. */
export interface Owner {
  /** Address of the daemon on the owning backend server's host. */
  readonly daemon: string;
  /** Proof of an orderly handover by the previous owner; empty where there was none. */
  readonly handover: string;
  /**
   * Id of the takeover in progress, 0 without one: the owner may not extend its lease unless it removes the seal, and
   * others may assign the range once the owner's lease has certainly ended.
   *
   * Each seal has a unique id. Otherwise a daemon that missed the removal of a seal would count its wait from an
   * earlier seal, while the owner has extended its lease in between.
   */
  readonly seal: number;
}

/** An owner that is being taken over. */
export interface SealedOwner {
  readonly daemon: string;
  readonly seal: number;
}

/** A daemon that may take owners over after the short lease, since their leases end by then without its promise. */
export interface Arbiter {
  readonly daemon: string;
  /**
   * Unique for each appointment: a daemon that was no arbiter for a short time must not count its time as an arbiter
   * from the earlier appointment, since an owner may have read the record in between.
   */
  readonly appointmentId: number;
}

/** Maximum number of daemons that are sealed in one write; far above the size of any fleet. */
const MAX_SEALS_PER_WRITE = 65_536;

/** The assignment of one range to a new owner. */
export interface Assignment extends KeyRange {
  readonly daemon: string;
  readonly handover: string;
}

/** The content of a record. */
interface Content {
  readonly revision: number;
  readonly owners: RangeMap<Owner>;
  readonly arbiters: readonly Arbiter[];
  readonly era: number;
  readonly isRestored: boolean;
}

/** One revision of the ownership of a service. It is immutable; every change returns a new record. */
export class OwnershipRecord {
  private constructor(private readonly content: Content) {}

  /** Creates a record in which no key has an owner. */
  static create(): OwnershipRecord {
    return new OwnershipRecord({
      revision: 0,
      owners: createOwners(),
      arbiters: [],
      era: 0,
      isRestored: false,
    });
  }

  /** Monotonic revision of this record in the store; 0 where the record is not in the store yet. */
  get revision(): number {
    return this.content.revision;
  }

  /** The daemons that may take owners over after the short lease. */
  get arbiters(): readonly Arbiter[] {
    return this.content.arbiters;
  }

  /** The era of the store in which the record was written. */
  get era(): number {
    return this.content.era;
  }

  /**
   * Whether the record was restored after the store had lost later changes. Owners keep the keys that they hold; no
   * keys are granted by it, since their owners in the lost records may still hold them.
   */
  get isRestored(): boolean {
    return this.content.isRestored;
  }

  private get owners(): RangeMap<Owner> {
    return this.content.owners;
  }

  /**
   * Decodes a record of the store.
   *
   * @returns an error `invalid` where the text is not a valid record.
   */
  static decode(
    text: string,
    revision: number,
  ): Result<OwnershipRecord, BamboolinkError> {
    return parseJson(text).andThen((value) =>
      decodeStoredRecord(value).map(({ segments, ...content }) =>
        new OwnershipRecord({
          ...content,
          revision,
          owners: RangeMap.createFrom(segments, isSameOwner),
        })
      ).mapErr((reason) => invalid(reason, undefined))
    );
  }

  /** Encodes the record for the store. */
  encode(): string {
    const { daemons } = this;
    const indexes = new Map(daemons.map((daemon, index) => [daemon, index]));
    const ranges: StoredRange[] = this.owners.segments.map((
      { from, to, value },
    ) => [
      from,
      to,
      indexes.get(value.daemon) ?? 0,
      value.handover,
      value.seal,
    ]);
    const arbiters = this.arbiters.map((
      { daemon, appointmentId },
    ) => [daemon, appointmentId] as const);
    const { era, isRestored: restored } = this;
    const stored: StoredRecord = { daemons, ranges, arbiters, era, restored };
    return JSON.stringify(stored);
  }

  /** All ranges that have an owner, in ascending order. */
  get segments(): readonly Segment<Owner>[] {
    return this.owners.segments;
  }

  /** The owner of a key; `undefined` where it has none. */
  ownerOf(key: number): Owner | undefined {
    return this.owners.get(key);
  }

  /** The ranges of one daemon. */
  rangesOf(daemon: string): Segment<Owner>[] {
    return this.owners.segments.filter(({ value }) => value.daemon === daemon);
  }

  /** The ranges without an owner. */
  findUnowned(): KeyRange[] {
    return this.owners.gaps({ from: 0, to: KEY_COUNT - 1 });
  }

  /** All daemons that own keys. */
  get daemons(): string[] {
    return [...new Set(this.owners.segments.map(({ value }) => value.daemon))];
  }

  /** Owners that are being taken over, one entry for each seal. */
  get sealedOwners(): SealedOwner[] {
    const seals = this.owners.segments
      .filter(({ value }) => value.seal !== 0)
      .map(({ value }) => [value.seal, value.daemon] as const);
    return [...new Map(seals)].map(([seal, daemon]) => ({ daemon, seal }));
  }

  /** Whether any range of a daemon is sealed. */
  isSealed(daemon: string): boolean {
    return this.rangesOf(daemon).some(({ value }) => value.seal !== 0);
  }

  /** The ranges under one seal. */
  rangesWithSeal(seal: number): Segment<Owner>[] {
    return this.owners.segments.filter(({ value }) => value.seal === seal);
  }

  /** Assigns ranges to new owners, without seals. */
  assign(changes: readonly Assignment[]): OwnershipRecord {
    return this.withChangedOwners((owners) =>
      changes.forEach(({ from, to, daemon, handover }) =>
        owners.set({ from, to }, { daemon, handover, seal: 0 })
      )
    );
  }

  /** Removes the owners of ranges. */
  release(ranges: readonly KeyRange[]): OwnershipRecord {
    return this.withChangedOwners((owners) =>
      ranges.forEach((range) => owners.delete(range))
    );
  }

  /**
   * Removes the proofs of handovers from the parts of a daemon's ranges that no longer need them, so that neighbours
   * count as one range. Otherwise the record grows with each move.
   */
  withoutHandovers(
    daemon: string,
    ranges: readonly KeyRange[],
  ): OwnershipRecord {
    const proven = this.rangesOf(daemon).filter(({ value }) =>
      value.handover !== ""
    );
    const unneeded = proven.flatMap((segment) =>
      ranges.flatMap((range) => {
        const shared = intersect(segment, range);
        return shared === undefined
          ? []
          : [{ ...shared, value: segment.value }];
      })
    );
    return unneeded.length === 0
      ? this
      : this.withChangedOwners((owners) =>
        unneeded.forEach(({ from, to, value }) =>
          owners.set({ from, to }, { ...value, handover: "" })
        )
      );
  }

  /** Begins the takeover of daemons; ranges that are already sealed keep their seals. */
  seal(daemons: readonly string[]): OwnershipRecord {
    // Each revision is replaced only once, and the daemon's index distinguishes the seals of one write.
    const seals = new Map(
      daemons.map((daemon, index) => [
        daemon,
        this.revision * MAX_SEALS_PER_WRITE + index + 1,
      ]),
    );
    return this.withChangedOwners((owners) =>
      owners.replace((owner) => ({
        ...owner,
        seal: owner.seal || (seals.get(owner.daemon) ?? 0),
      }))
    );
  }

  /** Cancels the takeover of a daemon. */
  unseal(daemon: string): OwnershipRecord {
    return this.withChangedOwners((owners) =>
      owners.replace((owner) =>
        owner.daemon === daemon ? { ...owner, seal: 0 } : owner
      )
    );
  }

  /** Appoints the arbiters; current arbiters among them keep their appointments. */
  appoint(daemons: readonly string[]): OwnershipRecord {
    const arbiters = daemons.map((daemon) =>
      this.arbiters.find((arbiter) => arbiter.daemon === daemon) ??
        { daemon, appointmentId: this.revision + 1 }
    );
    return new OwnershipRecord({ ...this.content, arbiters });
  }

  /** The appointment of a daemon, if it is an arbiter. */
  findArbiter(daemon: string): Arbiter | undefined {
    return this.arbiters.find((arbiter) => arbiter.daemon === daemon);
  }

  /** The same content with the revision that the store assigned to it. */
  withRevision(revision: number): OwnershipRecord {
    return new OwnershipRecord({ ...this.content, revision });
  }

  /** The same content as written in the given era of the store. */
  withEra(era: number): OwnershipRecord {
    return new OwnershipRecord({ ...this.content, era });
  }

  /** The same content as restored in a new era of the store. */
  restoredIn(era: number): OwnershipRecord {
    return new OwnershipRecord({ ...this.content, era, isRestored: true });
  }

  /** Gives a restored record full effect, once no backend server holds keys by the lost records any more. */
  settle(): OwnershipRecord {
    return new OwnershipRecord({ ...this.content, isRestored: false });
  }

  private withChangedOwners(
    apply: (owners: RangeMap<Owner>) => void,
  ): OwnershipRecord {
    const owners = RangeMap.createFrom(this.owners.segments, isSameOwner);
    apply(owners);
    return new OwnershipRecord({ ...this.content, owners });
  }
}

function createOwners(): RangeMap<Owner> {
  return RangeMap.create<Owner>(isSameOwner);
}

function isSameOwner(left: Owner, right: Owner): boolean {
  return left.daemon === right.daemon && left.handover === right.handover &&
    left.seal === right.seal;
}

function parseJson(text: string): Result<unknown, BamboolinkError> {
  try {
    return ok(JSON.parse(text));
  } catch (cause) {
    return err(invalid("not valid JSON", cause));
  }
}

function invalid(reason: string, cause: unknown): BamboolinkError {
  return BamboolinkError.create(
    "invalid",
    `invalid ownership record: ${reason}`,
    { step: "ownership_record.decode", cause },
  );
}
