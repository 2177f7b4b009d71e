/**
 * Writes numbered events through `consola`, as readable text or as one JSON object per line.
 *
 * @module
 */
import { type ConsolaInstance, createConsola } from "consola/core";
import { describeCause } from "@bamboolink/errors";
import { type EventName, EVENTS } from "./events.ts";
import { LineRateLimiter } from "./line_rate_limiter.ts";
import { NonBlockingLineWriter } from "./non_blocking_line_writer.ts";

/** Format of log lines: readable text or JSON. */
export type LogFormat = "human" | "json";

/** Fields of an event. `cause` may be any thrown value and is written as one line of text. */
export type EventFields = Readonly<Record<string, unknown>>;

const SEVERITY_LEVELS = { error: 0, warn: 1, info: 3, debug: 4 } as const;

/** Writes the log events of one process. */
export class Logger {
  private lineRateLimiter: LineRateLimiter | undefined;

  private constructor(
    private readonly consola: ConsolaInstance,
    private readonly format: LogFormat,
    private readonly process: string,
  ) {}

  /**
   * Creates a logger that writes JSON lines to standard output without blocking on their reader and limits
   * the rate of the lines of each event.
   *
   * @param process name that is written in each line.
   * @param options `level` is the lowest severity that is written.
   */
  static createRateLimited(
    process: string,
    options: { level: keyof typeof SEVERITY_LEVELS },
  ): Logger {
    const writer = NonBlockingLineWriter.create(1);
    const consola = createConsola({
      level: SEVERITY_LEVELS[options.level],
      reporters: [{
        log: (entry: LogEntry) => void writer.write(formatJson(entry)),
      }],
    });
    const logger = new Logger(consola, "json", process);
    logger.lineRateLimiter = LineRateLimiter.create();
    return logger;
  }

  /**
   * Creates a logger that writes all lines to standard error.
   *
   * @param process name that is written in each line.
   * @param options `level` is the lowest severity that is written.
   */
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

  /** Writes one event with the number, name and severity that `EVENTS` defines. */
  log(event: EventName, fields: EventFields = {}): void {
    const definition = EVENTS[event];
    if (SEVERITY_LEVELS[definition.severity] > this.consola.level) {
      return;
    }
    const allowed = this.lineRateLimiter?.take(event, performance.now());
    if (allowed?.mayWrite === false) {
      return;
    }
    if (allowed !== undefined && allowed.suppressedLines > 0) {
      this.write("log_lines_left_out", {
        of: event,
        count: allowed.suppressedLines,
      });
    }
    this.write(event, fields);
  }

  private write(event: EventName, fields: EventFields): void {
    const definition = EVENTS[event];
    const printableFields = Object.fromEntries(
      Object.entries(fields).map((
        [name, value],
      ) => [name, name === "cause" ? describeCause(value) : value]),
    );
    if (this.format === "json") {
      const line = {
        event: definition.number,
        name: event,
        process: this.process,
        ...printableFields,
      };
      this.consola[definition.severity](line);
      return;
    }
    const pairs = Object.entries(printableFields).map(([name, value]) =>
      `${name}=${encodeFields({ value }).slice('{"value":'.length, -1)}`
    );
    const line = `BL${definition.number} ${event} [${this.process}] ${
      pairs.join(" ")
    }`;
    this.consola[definition.severity](line);
  }
}

/** Longer texts are cut off, in UTF-16 code units: a peer may send names and errors of any length. */
const MAX_TEXT_LENGTH = 2_000;

/** Encodes the fields of a line; values that can't be encoded, or not within the limit, are cut off or left out. */
function encodeFields(fields: Record<string, unknown>): string {
  try {
    const line = JSON.stringify(fields);
    // A replacer function makes the encoding several times as slow.
    return line.length <= MAX_TEXT_LENGTH ? line : JSON.stringify(
      fields,
      (_, value) => typeof value === "string" ? truncate(value) : value,
    );
  } catch (cause) {
    return JSON.stringify(
      Object.fromEntries(
        Object.entries(fields).map(([name, value]) => [
          name,
          isNested(value)
            ? `not encoded: ${truncate(describeCause(cause))}`
            : typeof value === "string"
            ? truncate(value)
            : String(value),
        ]),
      ),
    );
  }
}

function isNested(value: unknown): boolean {
  return typeof value === "object" && value !== null;
}

function truncate(text: string): string {
  return text.length > MAX_TEXT_LENGTH
    ? `${text.slice(0, MAX_TEXT_LENGTH)}...`
    : text;
}

interface LogEntry {
  readonly args: unknown[];
  readonly type: string;
  readonly date: Date;
}

const JSON_REPORTER = {
  log(entry: LogEntry): void {
    globalThis.process.stderr.write(formatJson(entry));
  },
};

function formatJson(entry: LogEntry): string {
  const fields = entry.args[0] as Record<string, unknown>;
  const line = {
    time: entry.date.toISOString(),
    severity: entry.type,
    ...fields,
  };
  return encodeFields(line) + "\n";
}

const HUMAN_REPORTER = {
  log(entry: LogEntry): void {
    const severity = entry.type.toUpperCase().padEnd(5);
    const line = `${entry.date.toISOString()} ${severity} ${entry.args[0]}\n`;
    globalThis.process.stderr.write(line);
  },
};
