/**
 * Measures the waits from the first heartbeat of a backend server's process to its first grant of keys.
 *
 * @module
 */
import type { Incarnation } from "@bamboolink/keyspace";
import { isSameIncarnation } from "@bamboolink/keyspace";
import { bootMs } from "../clock.ts";

/** What the response to a heartbeat waits for. */
export type FirstGrantStep =
  /** Which zones are evacuated. */
  | "evacuation"
  /** What an earlier process of this daemon has reported to others. */
  | "earlier_report"
  /** The registration, the ownership record and the confirmation of the ownership lease. */
  | "lease";

/** The waits of one incarnation at a time. */
export class FirstGrantTimer {
  private current: Incarnation | undefined;
  private firstHeartbeatAtMs = 0;
  private lastHeartbeatAtMs = 0;
  private waitsMs: Partial<Record<FirstGrantStep, number>> = {};
  private hasFinished = false;

  private constructor() {}

  /** Creates a timer that has seen no heartbeat. */
  static create(): FirstGrantTimer {
    return new FirstGrantTimer();
  }

  /** Records the arrival of a heartbeat. */
  recordHeartbeat({ instance, born }: Incarnation): void {
    const incarnation = { instance, born };
    this.lastHeartbeatAtMs = bootMs();
    if (
      this.current !== undefined && isSameIncarnation(this.current, incarnation)
    ) {
      return;
    }
    this.current = incarnation;
    this.firstHeartbeatAtMs = this.lastHeartbeatAtMs;
    this.waitsMs = {};
    this.hasFinished = false;
  }

  /** Time since the arrival of the last heartbeat, in milliseconds. */
  get sinceHeartbeatMs(): number {
    return bootMs() - this.lastHeartbeatAtMs;
  }

  /** Adds the duration of a wait to that of its step. */
  async measure<T>(step: FirstGrantStep, wait: Promise<T>): Promise<T> {
    const beganAtMs = bootMs();
    const result = await wait;
    this.waitsMs[step] = (this.waitsMs[step] ?? 0) + bootMs() - beganAtMs;
    return result;
  }

  /** Returns the fields of a log entry on the first grant; `undefined` for further ones. */
  finish(): Record<string, number> | undefined {
    if (this.hasFinished) {
      return undefined;
    }
    this.hasFinished = true;
    const { evacuation = 0, earlier_report = 0, lease = 0 } = this.waitsMs;
    return {
      after_ms: Math.round(bootMs() - this.firstHeartbeatAtMs),
      evacuation_ms: Math.round(evacuation),
      earlier_report_ms: Math.round(earlier_report),
      lease_ms: Math.round(lease),
    };
  }
}
