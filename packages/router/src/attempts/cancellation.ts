/**
 * Cancellation of requests in flight.
 *
 * @module
 */
import { toTimerMs } from "../clock.ts";

/** Why a request is cancelled: its caller has disconnected, or its deadline has passed. */
export type CancellationReason = "cancelled" | "deadline";

/**
 * An `AbortController` and its signal in one, without events. A request passes through several of them, and with
 * controllers and event targets these took 4 % of the samples in a processor profile of a daemon under load.
 */
export class Cancellation {
  private cause: CancellationReason | undefined;
  private listeners: (() => void)[] = [];

  private constructor() {}

  /** Creates one that is not cancelled. */
  static create(): Cancellation {
    return new Cancellation();
  }

  /** Creates one that is cancelled with `deadline` after a time in milliseconds. */
  static createWithTimeout(milliseconds: number): Cancellation {
    const cancellation = new Cancellation();
    cancellation.cancelAfter(milliseconds).unref();
    return cancellation;
  }

  /** Whether {@link cancel} was called. */
  get isCancelled(): boolean {
    return this.cause !== undefined;
  }

  /** The reason of the first call of {@link cancel}; `undefined` before. */
  get reason(): CancellationReason | undefined {
    return this.cause;
  }

  /** Cancels the request and calls the listeners; later calls have no effect. */
  cancel(reason: CancellationReason): void {
    if (this.cause !== undefined) {
      return;
    }
    this.cause = reason;
    const { listeners } = this;
    this.listeners = [];
    listeners.forEach((listener) => listener());
  }

  /**
   * Cancels with `deadline` after a time in milliseconds. Timers run before sockets are read, so after a stall of the
   * process a response that has arrived would lose to the deadline; the cancellation waits for one read of the sockets.
   */
  cancelAfter(milliseconds: number): NodeJS.Timeout {
    return setTimeout(
      () => setImmediate(() => this.cancel("deadline")),
      toTimerMs(milliseconds),
    );
  }

  /** Adds a listener for a future cancellation, called at most once. */
  onCancel(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Removes a listener. */
  remove(listener: () => void): void {
    this.listeners = this.listeners.filter((other) => other !== listener);
  }
}
