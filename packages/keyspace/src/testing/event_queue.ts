/**
 * Simulated time: runs events in the order in which they are due.
 *
 * @module
 */

interface Event {
  readonly dueAtMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Events of a simulation, as a binary heap. */
export class EventQueue {
  private currentMs = 0;
  private readonly events: Event[] = [];
  private sequence = 0;

  private constructor() {}

  /** Creates a queue without events, at time 0. */
  static create(): EventQueue {
    return new EventQueue();
  }

  /** The simulated time, in milliseconds. */
  get nowMs(): number {
    return this.currentMs;
  }

  /** Runs until the given time. */
  runUntil(untilMs: number): void {
    while (this.events.length > 0 && this.events[0]!.dueAtMs <= untilMs) {
      const event = this.removeFirst();
      this.currentMs = event.dueAtMs;
      event.run();
    }
    this.currentMs = untilMs;
  }

  /** Runs a function periodically. */
  every(periodMs: number, firstMs: number, run: () => void): void {
    this.after(firstMs, () => {
      run();
      this.every(periodMs, periodMs, run);
    });
  }

  /** Runs a function once. */
  after(ms: number, run: () => void): void {
    this.sequence += 1;
    const event = { dueAtMs: this.nowMs + ms, sequence: this.sequence, run };
    const { events } = this;
    let index = events.length;
    events.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, events[parent]!)) {
        break;
      }
      events[index] = events[parent]!;
      index = parent;
    }
    events[index] = event;
  }

  private removeFirst(): Event {
    const { events } = this;
    const first = events[0]!;
    const last = events.pop()!;
    if (events.length > 0) {
      let index = 0;
      for (;;) {
        const left = 2 * index + 1;
        const right = left + 1;
        const smaller =
          right < events.length && isBefore(events[right]!, events[left]!)
            ? right
            : left;
        if (smaller >= events.length || !isBefore(events[smaller]!, last)) {
          break;
        }
        events[index] = events[smaller]!;
        index = smaller;
      }
      events[index] = last;
    }
    return first;
  }
}

function isBefore(left: Event, right: Event): boolean {
  return left.dueAtMs < right.dueAtMs ||
    left.dueAtMs === right.dueAtMs && left.sequence < right.sequence;
}
