/**
 * Writes numbered events through `consola`, for people or as one JSON object a line.
 *
 * @module
 */
import { type ConsolaInstance, createConsola } from "consola/core";
import { describeCause } from "@bamboolink/errors";
import { type EventName, EVENTS } from "./events.ts";
import { LineBudget } from "./line_budget.ts";
import { LineWriter } from "./line_writer.ts";

/** How log lines are written. */
export type LogFormat = "human" | "json";

/** Fields of an event; `cause` may be any thrown value. */
export type EventFields = Readonly<Record<string, unknown>>;

const SEVERITY_LEVELS = { error: 0, warn: 1, info: 3, debug: 4 } as const;

/** Writes events of one process. */
export class Logger {
  private budget: LineBudget | undefined;

  private constructor(
    private readonly consola: ConsolaInstance,
    private readonly format: LogFormat,
    private readonly process: string,
  ) {}

  /**
   * Creates a logger that writes JSON lines to standard output, never waits for their reader, and writes
   * a bounded number of lines of each event.
   */
  static createRateLimited(
    process: string,
    options: { level: keyof typeof SEVERITY_LEVELS },
  ): Logger {
    const writer = LineWriter.create(1);
    const consola = createConsola({
      level: SEVERITY_LEVELS[options.level],
      reporters: [{
        log: (entry: LogEntry) => void writer.write(writeJson(entry)),
      }],
    });
    const logger = new Logger(consola, "json", process);
    logger.budget = LineBudget.create();
    return logger;
  }

  /** Creates a logger for one process; `level` is the least severity that is written. */
  static create(
    process: string,
    options: { format: LogFormat; level: keyof typeof SEVERITY_LEVELS },
  ): Logger {
    const consola = createConsola({
      level: SEVERITY_LEVELS[options.level],
      stdout: globalThis.process.stderr,
      stderr: globalThis.process.stderr,
      reporters: [options.format === "json" ? JSON_REPORTER : HUMAN_REPORTER],
    });
    return new Logger(consola, options.format, process);
  }

  /** Writes one event. Its number, name and severity come from the catalogue. */
  log(event: EventName, fields: EventFields = {}): void {
    const definition = EVENTS[event];
    if (SEVERITY_LEVELS[definition.severity] > this.consola.level) {
      return;
    }
    const allowed = this.budget?.take(event, performance.now());
    if (allowed?.mayWrite === false) {
      return;
    }
    if (allowed !== undefined && allowed.leftOut > 0) {
      this.write("log_lines_left_out", { of: event, count: allowed.leftOut });
    }
    this.write(event, fields);
  }

  private write(event: EventName, fields: EventFields): void {
    const definition = EVENTS[event];
    const plain = Object.fromEntries(
      Object.entries(fields).map((
        [name, value],
      ) => [name, name === "cause" ? describeCause(value) : value]),
    );
    if (this.format === "json") {
      const line = {
        event: definition.number,
        name: event,
        process: this.process,
        ...plain,
      };
      this.consola[definition.severity](line);
      return;
    }
    const pairs = Object.entries(plain).map(([name, value]) =>
      `${name}=${JSON.stringify(value)}`
    );
    const line = `BL${definition.number} ${event} [${this.process}] ${
      pairs.join(" ")
    }`;
    this.consola[definition.severity](line);
  }
}

interface LogEntry {
  readonly args: unknown[];
  readonly type: string;
  readonly date: Date;
}

const JSON_REPORTER = {
  log(entry: LogEntry): void {
    globalThis.process.stderr.write(writeJson(entry));
  },
};

function writeJson(entry: LogEntry): string {
  const fields = entry.args[0] as Record<string, unknown>;
  const line = {
    time: entry.date.toISOString(),
    severity: entry.type,
    ...fields,
  };
  return JSON.stringify(line) + "\n";
}

const HUMAN_REPORTER = {
  log(entry: LogEntry): void {
    const severity = entry.type.toUpperCase().padEnd(5);
    const line = `${entry.date.toISOString()} ${severity} ${entry.args[0]}\n`;
    globalThis.process.stderr.write(line);
  },
};
