/**
 * The event queue of a discrete-event simulation.
 *
 * @module
 */

interface SimulatedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: (nowMs: number) => void;
}

/** Runs events in the order of their times; those of the same time in the order in which they were added. */
export class EventQueue {
  /** A binary heap. */
  private readonly heap: SimulatedEvent[] = [];
  private currentMs = 0;
  private addedCount = 0;

  private constructor() {}

  /** Creates a queue without events, at time 0. */
  static create(): EventQueue {
    return new EventQueue();
  }

  /** The simulated time, in milliseconds: that of the newest event that has run. */
  get nowMs(): number {
    return this.currentMs;
  }

  /** Runs a function at a time in milliseconds, which it is given. */
  at(atMs: number, run: (nowMs: number) => void): void {
    this.addedCount += 1;
    this.heap.push({ atMs, order: this.addedCount, run });
    let index = this.heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(this.heap[parent]!, this.heap[index]!)) {
        break;
      }
      this.swap(index, parent);
      index = parent;
    }
  }

  /** Runs a function after a delay in milliseconds. */
  after(delayMs: number, run: (nowMs: number) => void): void {
    this.at(this.currentMs + delayMs, run);
  }

  /** Runs a function periodically. */
  every(periodMs: number, firstMs: number, run: () => void): void {
    this.after(firstMs, () => {
      run();
      this.every(periodMs, periodMs, run);
    });
  }

  /** Runs all events up to a time, including those that they add. */
  runUntil(untilMs: number): void {
    while (this.heap.length > 0 && this.heap[0]!.atMs <= untilMs) {
      this.runFirst();
    }
    this.currentMs = untilMs;
  }

  /** Runs all events, including those that they add. */
  runAll(): void {
    while (this.heap.length > 0) {
      this.runFirst();
    }
  }

  private runFirst(): void {
    const { atMs, run } = this.takeFirst();
    this.currentMs = atMs;
    run(atMs);
  }

  private takeFirst(): SimulatedEvent {
    const first = this.heap[0]!;
    const last = this.heap.pop()!;
    if (this.heap.length === 0) {
      return first;
    }
    this.heap[0] = last;
    let index = 0;
    while (true) {
      const left = 2 * index + 1;
      const right = left + 1;
      const smaller = this.isHeapBefore(right, left) ? right : left;
      if (!this.isHeapBefore(smaller, index)) {
        return first;
      }
      this.swap(index, smaller);
      index = smaller;
    }
  }

  private isHeapBefore(left: number, right: number): boolean {
    return left < this.heap.length &&
      isBefore(this.heap[left]!, this.heap[right]!);
  }

  private swap(left: number, right: number): void {
    const event = this.heap[left]!;
    this.heap[left] = this.heap[right]!;
    this.heap[right] = event;
  }
}

function isBefore(left: SimulatedEvent, right: SimulatedEvent): boolean {
  return left.atMs < right.atMs ||
    left.atMs === right.atMs && left.order < right.order;
}
