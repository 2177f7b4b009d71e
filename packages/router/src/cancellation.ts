/**
 * Tells those who work on a request that its outcome is not wanted any more.
 *
 * @module
 */

/** Why a request is not wanted any more. */
export type CancellationReason = "cancelled" | "deadline";

/**
 * Like an `AbortController` with its signal, without events: a request passes through several of them,
 * and controllers and event targets were 4 % of a daemon's samples in a processor profile at load.
 */
export class Cancellation {
  private cause: CancellationReason | undefined;
  private listeners: (() => void)[] = [];

  private constructor() {}

  /** Creates one for a request that is wanted. */
  static create(): Cancellation {
    return new Cancellation();
  }

  /** Creates one that ends by itself. */
  static createWithTimeout(milliseconds: number): Cancellation {
    const cancellation = new Cancellation();
    setTimeout(() => cancellation.cancel("deadline"), milliseconds).unref();
    return cancellation;
  }

  /** Whether the outcome is not wanted any more. */
  get isCancelled(): boolean {
    return this.cause !== undefined;
  }

  /** Why; `undefined` while the outcome is wanted. */
  get reason(): CancellationReason | undefined {
    return this.cause;
  }

  /** Says that the outcome is not wanted any more; the first call counts. */
  cancel(reason: CancellationReason): void {
    if (this.cause !== undefined) {
      return;
    }
    this.cause = reason;
    const { listeners } = this;
    this.listeners = [];
    listeners.forEach((listener) => listener());
  }

  /** Has a listener called once, if it comes to that. */
  onCancel(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Forgets a listener. */
  remove(listener: () => void): void {
    this.listeners = this.listeners.filter((other) => other !== listener);
  }
}
