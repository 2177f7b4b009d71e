/**
 * Faults of the store that may overlap: each ends only when no other of its kind lasts.
 *
 * @module
 */
import type { MetadataStandin } from "@bamboolink/platform/testing";

/** Delay of the store's responses while it is slow, in milliseconds. */
const RESPONSE_DELAY_MS = 250;

/** A fault that can be switched on while others last. */
export type PartialStoreFault =
  | { readonly kind: "slow" }
  | { readonly kind: "hides_changes" }
  /** `addresses` are those at which the affected daemons reach the store. */
  | { readonly kind: "rejects"; readonly addresses: readonly string[] }
  | { readonly kind: "silent"; readonly addresses: readonly string[] };

/** Applies the faults that last to a store. */
export class PartialStoreFaults {
  private readonly active = new Set<PartialStoreFault>();

  private constructor(private readonly store: MetadataStandin) {}

  static create(store: MetadataStandin): PartialStoreFaults {
    return new PartialStoreFaults(store);
  }

  /** Starts a fault; returns a function that ends it. */
  start(fault: PartialStoreFault): () => void {
    this.active.add(fault);
    this.applyAll();
    return () => {
      this.active.delete(fault);
      this.applyAll();
    };
  }

  private applyAll(): void {
    const { faults } = this.store;
    const active = [...this.active];
    const isActive = (kind: PartialStoreFault["kind"]) =>
      active.some((fault) => fault.kind === kind);
    const findAddresses = (kind: "rejects" | "silent") =>
      new Set(
        active.flatMap((fault) => fault.kind === kind ? fault.addresses : []),
      );
    faults.responseDelayMs = isActive("slow") ? RESPONSE_DELAY_MS : 0;
    faults.hidesChangesFromWatches = isActive("hides_changes");
    faults.rejectingAddresses = findAddresses("rejects");
    faults.unresponsiveAddresses = findAddresses("silent");
  }
}
