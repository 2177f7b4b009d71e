/**
 * The events of a simulation, in the order of their times.
 *
 * @module
 */

interface Event {
  readonly dueAtMs: number;
  readonly run: () => void;
}

/** Runs scheduled events; events of the same time run in the order in which they were scheduled. */
export class EventQueue {
  private readonly events: Event[] = [];
  private timeMs = 0;

  private constructor() {}

  /** Creates an empty queue at time 0. */
  static create(): EventQueue {
    return new EventQueue();
  }

  /** The time of the event that is running, in milliseconds. */
  get nowMs(): number {
    return this.timeMs;
  }

  /** Schedules an event after a delay in milliseconds. */
  schedule(delayMs: number, run: () => void): void {
    const dueAtMs = this.timeMs + delayMs;
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.events[middle]!.dueAtMs <= dueAtMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.events.splice(low, 0, { dueAtMs, run });
  }

  /** Runs all events, including those that are scheduled meanwhile. */
  runAll(): void {
    while (this.events.length > 0) {
      const event = this.events.shift()!;
      this.timeMs = event.dueAtMs;
      event.run();
    }
  }
}
