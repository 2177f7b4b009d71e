/**
 * Faults that the stand-in shows on demand, and its count of calls.
 *
 * @module
 */
import { z } from "zod";

/** Body of `POST /standin/faults`. What is left out goes back to healthy. */
export const FaultSettings = z.strictObject({
  /** Every connection is cut without an answer. */
  down: z.boolean().default(false),
  /** Each answer comes this much later, in milliseconds. */
  delay_ms: z.number().min(0).max(60_000).default(0),
  /** Writes take effect and their answers are lost; so many of them. */
  lose_answers: z.int().min(0).default(0),
  /** All leases lapse at once. */
  lapse_leases: z.boolean().default(false),
});
/** Faults in force. */
export type FaultSettings = z.infer<typeof FaultSettings>;

/** The faults and counts of one stand-in. */
export class Faults {
  private settings: FaultSettings = FaultSettings.parse({});
  private readonly calls = new Map<string, number>();

  private constructor() {}

  /** Creates a healthy one. */
  static create(): Faults {
    return new Faults();
  }

  /** Puts faults in force. */
  set(settings: FaultSettings): void {
    this.settings = settings;
  }

  /** Whether the store is down. */
  get down(): boolean {
    return this.settings.down;
  }

  /** How much later answers come, in milliseconds. */
  get delayMs(): number {
    return this.settings.delay_ms;
  }

  /** Whether the answer of the write that just took effect is lost. */
  takeLostAnswer(): boolean {
    const lose = this.settings.lose_answers > 0;
    this.settings = {
      ...this.settings,
      lose_answers: Math.max(0, this.settings.lose_answers - 1),
    };
    return lose;
  }

  /** Counts a call. */
  countCall(path: string): void {
    this.calls.set(path, (this.calls.get(path) ?? 0) + 1);
  }

  /** Calls by path since the start. */
  get counts(): Record<string, number> {
    return Object.fromEntries(this.calls);
  }
}
