/**
 * Interprets the state charts in `charts/`. The files are the single source of which step may follow
 * which; the docs draw them from the same files.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import {
  type AnyStateMachine,
  createMachine,
  initialTransition,
  transition,
} from "xstate";

/** A state chart that is read from a file and stepped without side effects. */
export class Chart {
  /** The charts have no context, so a step depends on state and event alone and is worked out once. */
  private readonly steps = new Map<string, string>();

  private constructor(private readonly machine: AnyStateMachine) {}

  /** Reads a chart from `charts/NAME.json`. */
  static create(name: string): Chart {
    const file = new URL(`../charts/${name}.json`, import.meta.url);
    return new Chart(createMachine(JSON.parse(readFileSync(file, "utf8"))));
  }

  /** The state in which the chart begins. */
  get initial(): string {
    return String(initialTransition(this.machine)[0].value);
  }

  /** The state after an event; an event that the state does not know leaves it as it is. */
  next(state: string, event: string): string {
    const name = `${state} ${event}`;
    const known = this.steps.get(name) ?? this.interpret(state, event);
    this.steps.set(name, known);
    return known;
  }

  private interpret(state: string, event: string): string {
    const snapshot = this.machine.resolveState({ value: state, context: {} });
    return String(transition(this.machine, snapshot, { type: event })[0].value);
  }
}

/** Life of one session in its own daemon. */
export const SESSION_CHART = Chart.create("session");
/** Takeover of one session by the planner. */
export const TAKEOVER_CHART = Chart.create("takeover");
/** Planned handover of partitions by the planner. */
export const HANDOVER_CHART = Chart.create("handover");
