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
  private addedCount = 0;

  private constructor() {}

  /** Creates an empty queue. */
  static create(): EventQueue {
    return new EventQueue();
  }

  /** Adds an event. */
  add(atMs: number, run: (nowMs: number) => void): void {
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

  /** Runs all events, including those that they add. */
  runAll(): void {
    while (this.heap.length > 0) {
      const { atMs, run } = this.takeFirst();
      run(atMs);
    }
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
      const next = [2 * index + 1, 2 * index + 2]
        .filter((child) => child < this.heap.length)
        .reduce(
          (best, child) =>
            isBefore(this.heap[child]!, this.heap[best]!) ? child : best,
          index,
        );
      if (next === index) {
        return first;
      }
      this.swap(index, next);
      index = next;
    }
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
