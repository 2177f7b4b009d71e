/**
 * Injected faults of the stand-in and its call counts.
 *
 * @module
 */
import { z } from "zod";

/** Body of `POST /standin/faults`. An omitted field resets its fault. */
export const FaultSettings = z.strictObject({
  /** Every connection is closed without a response. */
  down: z.boolean().default(false),
  /** Delay of each response in milliseconds. */
  delay_ms: z.number().min(0).max(60_000).default(0),
  /** Number of further calls other than reads that take effect without a response being sent. */
  lose_answers: z.int().min(0).default(0),
  /** Ends all leases immediately. */
  lapse_leases: z.boolean().default(false),
});
/** The faults currently injected. */
export type FaultSettings = z.infer<typeof FaultSettings>;

/** Injected faults and call counts of one stand-in. */
export class Faults {
  private settings: FaultSettings = FaultSettings.parse({});
  private readonly calls = new Map<string, number>();

  private constructor() {}

  /** Creates the state of a stand-in without faults. */
  static create(): Faults {
    return new Faults();
  }

  /** Replaces the injected faults. */
  set(settings: FaultSettings): void {
    this.settings = settings;
  }

  /** Whether every connection is closed without a response. */
  get down(): boolean {
    return this.settings.down;
  }

  /** Delay of each response in milliseconds. */
  get responseDelayMs(): number {
    return this.settings.delay_ms;
  }

  /** Returns whether to drop the response to the call that just took effect, and decrements the number to drop. */
  consumeDroppedResponse(): boolean {
    const isDropped = this.settings.lose_answers > 0;
    this.settings = {
      ...this.settings,
      lose_answers: Math.max(0, this.settings.lose_answers - 1),
    };
    return isDropped;
  }

  /** Counts a call of the given path. */
  countCall(path: string): void {
    this.calls.set(path, (this.calls.get(path) ?? 0) + 1);
  }

  /** Number of calls by path since the stand-in was created. */
  get counts(): Record<string, number> {
    return Object.fromEntries(this.calls);
  }
}
