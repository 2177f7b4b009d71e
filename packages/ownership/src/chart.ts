/**
 * Interprets the state charts in `charts/`. These files alone define which transitions are allowed; the diagrams
 * in the documentation are generated from them.
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

/** A state chart read from a file. Computing a transition has no side effects. */
export class Chart {
  /** Computed transitions. The charts have no context, so the next state depends on state and event only. */
  private readonly steps = new Map<string, string>();

  private constructor(private readonly machine: AnyStateMachine) {}

  /** Reads a chart from `charts/NAME.json`; throws if the file is missing or invalid. */
  static create(name: string): Chart {
    const file = new URL(`../charts/${name}.json`, import.meta.url);
    return new Chart(createMachine(JSON.parse(readFileSync(file, "utf8"))));
  }

  /** The initial state of the chart. */
  get initial(): string {
    return String(initialTransition(this.machine)[0].value);
  }

  /** Returns the state after an event; an event without a transition from `state` leaves it unchanged. */
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

/** States of a session in its own daemon. */
export const SESSION_CHART = Chart.create("session");
/** States of the takeover of a session by the planner. */
export const TAKEOVER_CHART = Chart.create("takeover");
/** States of a planned handover of partitions by the planner. */
export const HANDOVER_CHART = Chart.create("handover");
