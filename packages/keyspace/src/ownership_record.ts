/**
 * The record in the store that says which daemon's backend server owns which keys of one service.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  KEY_COUNT,
  type KeyRange,
  RangeMap,
  type Segment,
} from "./range_map.ts";

/** Who owns a range. */
export interface Owner {
  /** Address of the daemon beside the owning backend server. */
  readonly daemon: string;
  /** Proof of an orderly handover by the previous owner; empty where there was none. */
  readonly handover: string;
  /**
   * Names the takeover that has begun, 0 without one: the owner may not extend its tenure unless it
   * removes the seal, and others may assign the range once the owner's tenure has certainly ended.
   *
   * Each seal has a name of its own. Otherwise a daemon that missed a removal would count its wait from
   * an earlier seal, while the owner has extended its tenure in between.
   */
  readonly seal: number;
}

/** An owner that is being taken over. */
export interface SealedOwner {
  readonly daemon: string;
  readonly seal: number;
}

/**
 * A daemon that may take owners over after the short tenure, because they can't go on for longer without its
 * promise.
 */
export interface Arbiter {
  readonly daemon: string;
  /**
   * Names the appointment. Each has a name of its own: one that was no arbiter for a moment must not take
   * itself for one all along, since an owner may have read the record in that moment.
   */
  readonly appointmentId: number;
}

const StoredKey = z.int().min(0).max(KEY_COUNT - 1);

/** First key, last key, index of the daemon, proof of the handover, name of the seal. */
const StoredRange = z.tuple([
  StoredKey,
  StoredKey,
  z.int().min(0),
  z.string(),
  z.int().min(0),
]);

/**
 * Each change of a record goes to all daemons, so it is kept short: rows in place of named fields, and
 * each daemon's address once.
 */
const StoredRecord = z.object({
  daemons: z.array(z.string()),
  ranges: z.array(StoredRange),
  /** Daemon and name of the appointment. */
  arbiters: z.array(z.tuple([z.string(), z.int().min(0)])).default([]),
  /** How often the store had gone back when this was written; another figure than the store's says that it is old. */
  era: z.int().min(0).default(0),
  /** Whether this was put back after the store had lost it, and others may still hold keys by a later one. */
  restored: z.boolean().default(false),
});

/** Bounds how many daemons are sealed in one write; far above the size of any fleet. */
const MOST_SEALS_AT_ONCE = 65_536;

/** A change of the owner of one range. */
export interface Assignment extends KeyRange {
  readonly daemon: string;
  readonly handover: string;
}

/** What a record says. */
interface Content {
  readonly revision: number;
  readonly owners: RangeMap<Owner>;
  readonly arbiters: readonly Arbiter[];
  readonly era: number;
  readonly isRestored: boolean;
}

/** One revision of the ownership of a service. It is never changed; changes make a new one. */
export class OwnershipRecord {
  private constructor(private readonly content: Content) {}

  /** A record in which no key has an owner. */
  static create(): OwnershipRecord {
    return new OwnershipRecord({
      revision: 0,
      owners: createOwners(),
      arbiters: [],
      era: 0,
      isRestored: false,
    });
  }

  /** The store's revision of this record, in the order over all eras; 0 where there is none in the store yet. */
  get revision(): number {
    return this.content.revision;
  }

  /** Those who may take owners over after the short tenure. */
  get arbiters(): readonly Arbiter[] {
    return this.content.arbiters;
  }

  /** The era of the store in which the record was written. */
  get era(): number {
    return this.content.era;
  }

  /**
   * Whether the record was put back after the store had lost what came after it. Owners go on with what they hold;
   * nobody is given keys by it, since those who had them by what was lost may still hold them.
   */
  get isRestored(): boolean {
    return this.content.isRestored;
  }

  private get owners(): RangeMap<Owner> {
    return this.content.owners;
  }

  /** Decodes a record of the store. */
  static decode(
    text: string,
    revision: number,
  ): Result<OwnershipRecord, BamboolinkError> {
    const parsed = parseJson(text).andThen((value) => {
      const checked = StoredRecord.safeParse(value);
      return checked.success
        ? ok(checked.data)
        : err(invalid(checked.error.message, checked.error));
    });
    return parsed.andThen((stored) =>
      toOwners(stored).map((owners) =>
        new OwnershipRecord({
          revision,
          owners,
          arbiters: toArbiters(stored),
          era: stored.era,
          isRestored: stored.restored,
        })
      )
    );
  }

  /** Encodes the record for the store. */
  encode(): string {
    const { daemons } = this;
    const indexes = new Map(daemons.map((daemon, index) => [daemon, index]));
    const ranges: z.infer<typeof StoredRange>[] = this.owners.segments.map((
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
    ) => [daemon, appointmentId]);
    const { era, isRestored: restored } = this;
    return JSON.stringify({ daemons, ranges, arbiters, era, restored });
  }

  /** All ranges that have an owner. */
  get segments(): readonly Segment<Owner>[] {
    return this.owners.segments;
  }

  /** The owner of a key. */
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

  /** Owners that are being taken over. */
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

  /** Gives ranges to other owners. */
  assign(changes: readonly Assignment[]): OwnershipRecord {
    return this.change((owners) =>
      changes.forEach(({ from, to, daemon, handover }) =>
        owners.set({ from, to }, { daemon, handover, seal: 0 })
      )
    );
  }

  /** Takes ranges from their owner and gives them to nobody. */
  release(ranges: readonly KeyRange[]): OwnershipRecord {
    return this.change((owners) =>
      ranges.forEach((range) => owners.delete(range))
    );
  }

  /** Begins to take over all ranges of daemons that are not being taken over yet. */
  seal(daemons: readonly string[]): OwnershipRecord {
    // A revision is replaced once only, and the number of the daemon tells apart what is sealed with it.
    const seals = new Map(
      daemons.map((daemon, index) => [
        daemon,
        this.revision * MOST_SEALS_AT_ONCE + index + 1,
      ]),
    );
    return this.change((owners) =>
      owners.replace((owner) => ({
        ...owner,
        seal: owner.seal || (seals.get(owner.daemon) ?? 0),
      }))
    );
  }

  /** Ends the takeover of a daemon. */
  unseal(daemon: string): OwnershipRecord {
    return this.change((owners) =>
      owners.replace((owner) =>
        owner.daemon === daemon ? { ...owner, seal: 0 } : owner
      )
    );
  }

  /** Names the arbiters; those who are it already stay in office. */
  appoint(daemons: readonly string[]): OwnershipRecord {
    const arbiters = daemons.map((daemon) =>
      this.arbiters.find((arbiter) => arbiter.daemon === daemon) ??
        { daemon, appointmentId: this.revision + 1 }
    );
    return new OwnershipRecord({ ...this.content, arbiters });
  }

  /** The office of a daemon, if it is an arbiter. */
  findArbiter(daemon: string): Arbiter | undefined {
    return this.arbiters.find((arbiter) => arbiter.daemon === daemon);
  }

  /** The same content under the revision that the store gave it. */
  withRevision(revision: number): OwnershipRecord {
    return new OwnershipRecord({ ...this.content, revision });
  }

  /** The same content as it is written in an era of the store. */
  withEra(era: number): OwnershipRecord {
    return new OwnershipRecord({ ...this.content, era });
  }

  /** The same content as it is put back in a new era of the store. */
  restoredIn(era: number): OwnershipRecord {
    return new OwnershipRecord({ ...this.content, era, isRestored: true });
  }

  /** Nobody holds keys by what the store has lost any more: the record is in force like any other. */
  settle(): OwnershipRecord {
    return new OwnershipRecord({ ...this.content, isRestored: false });
  }

  private change(apply: (owners: RangeMap<Owner>) => void): OwnershipRecord {
    const owners = RangeMap.createFrom(this.owners.segments, isSameOwner);
    apply(owners);
    return new OwnershipRecord({ ...this.content, owners });
  }
}

function toArbiters(stored: z.infer<typeof StoredRecord>): Arbiter[] {
  return stored.arbiters.map(([daemon, appointmentId]) => ({
    daemon,
    appointmentId,
  }));
}

function createOwners(): RangeMap<Owner> {
  return RangeMap.create<Owner>(isSameOwner);
}

function isSameOwner(left: Owner, right: Owner): boolean {
  return left.daemon === right.daemon && left.handover === right.handover &&
    left.seal === right.seal;
}

/** Checks what the schema can't: that rows are in order, and name daemons that are listed. */
function toOwners(
  stored: z.infer<typeof StoredRecord>,
): Result<RangeMap<Owner>, BamboolinkError> {
  const { daemons, ranges } = stored;
  const isOrdered = ranges.every(([from, to], index) =>
    from <= to && (index === 0 || ranges[index - 1]![1] < from)
  );
  const segments = ranges.flatMap(([from, to, index, handover, seal]) => {
    const daemon = daemons[index];
    return daemon === undefined
      ? []
      : [{ from, to, value: { daemon, handover, seal } }];
  });
  return isOrdered && segments.length === ranges.length
    ? ok(RangeMap.createFrom(segments, isSameOwner))
    : err(invalid("its ranges overlap or name no daemon", undefined));
}

function parseJson(text: string): Result<unknown, BamboolinkError> {
  try {
    return ok(JSON.parse(text));
  } catch (cause) {
    return err(invalid("it is not JSON", cause));
  }
}

function invalid(reason: string, cause: unknown): BamboolinkError {
  return BamboolinkError.create(
    "invalid",
    `the ownership record can't be read: ${reason}`,
    { step: "ownership_record.decode", cause },
  );
}
