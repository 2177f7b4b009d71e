/**
 * Reads settings from flags (`--data-port 8080`, `--data-port=8080`) and environment variables
 * (`BAMBOOLINK_DATA_PORT`) and validates them against a schema. Flags take precedence over variables.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

/** All problems with the settings, one line each; a line names its setting. */
export class SettingsError extends Error {
  private constructor(readonly problems: readonly string[]) {
    super(problems.join("\n"));
    this.name = "SettingsError";
  }

  /** Creates an error from descriptions of the problems, one line each. */
  static create(problems: readonly string[]): SettingsError {
    return new SettingsError(problems);
  }
}

/** One setting, as listed by `--help` and in `docs/SETTINGS.md`. */
export interface SettingDescription {
  readonly flag: string;
  readonly variable: string;
  readonly meaning: string;
  /** The default value, `none`, or `required` if a value must be set. */
  readonly defaultValue: string;
}

type SettingsSchema = z.ZodObject<Record<string, z.ZodType>>;

/** Converts `data_port` to `--data-port`. */
function flagOf(name: string): string {
  return "--" + name.replaceAll("_", "-");
}

/** Converts `data_port` to `BAMBOOLINK_DATA_PORT`. */
function variableOf(name: string): string {
  return "BAMBOOLINK_" + name.toUpperCase();
}

/** Describes each setting of a schema; the meanings are those set by zod's `describe`. */
export function describeSettings(schema: SettingsSchema): SettingDescription[] {
  return Object.entries(schema.shape).map(([name, type]) => {
    const parsed = type.safeParse(undefined);
    return {
      flag: flagOf(name),
      variable: variableOf(name),
      meaning: type.description ?? "",
      defaultValue: parsed.success ? String(parsed.data ?? "none") : "required",
    };
  });
}

/**
 * Reads the settings of one process from the given arguments and environment.
 *
 * @returns the validated settings, or an error with one line for each invalid setting.
 */
export function readSettings<S extends SettingsSchema>(
  schema: S,
  source: {
    arguments: readonly string[];
    environment: Readonly<Record<string, string | undefined>>;
  },
): Result<z.infer<S>, SettingsError> {
  const names = Object.keys(schema.shape);
  const flags = readFlags(names, source.arguments);
  if (flags.isErr()) {
    return err(flags.error);
  }
  const raw = Object.fromEntries(
    names
      .map((name) =>
        [
          name,
          flags.value[name] ?? source.environment[variableOf(name)],
        ] as const
      )
      .filter(([, value]) => value !== undefined),
  );
  const parsed = schema.safeParse(raw);
  if (parsed.success) {
    return ok(parsed.data as z.infer<S>);
  }
  return err(
    SettingsError.create(
      parsed.error.issues.map((issue) => describeIssue(issue, raw)),
    ),
  );
}

function readFlags(
  names: readonly string[],
  args: readonly string[],
): Result<Record<string, string | undefined>, SettingsError> {
  const options = Object.fromEntries(
    names.map((
      name,
    ) => [name.replaceAll("_", "-"), { type: "string" as const }]),
  );
  try {
    const { values } = parseArgs({
      args: [...args],
      options,
      strict: true,
      allowPositionals: false,
    });
    const entries = Object.entries(
      values as Record<string, string | undefined>,
    );
    return ok(
      Object.fromEntries(
        entries.map(([flag, value]) => [flag.replaceAll("-", "_"), value]),
      ),
    );
  } catch (cause) {
    const known = names.map(flagOf).join(", ");
    return err(
      SettingsError.create([
        `${(cause as Error).message} (known flags: ${known})`,
      ]),
    );
  }
}

function describeIssue(
  issue: z.core.$ZodIssue,
  raw: Record<string, string | undefined>,
): string {
  const name = String(issue.path[0] ?? "");
  const given = raw[name];
  const value = given === undefined
    ? "it is not set"
    : `it is ${JSON.stringify(given)}`;
  return `setting ${flagOf(name)} (or ${
    variableOf(name)
  }): ${issue.message}; ${value}`;
}

/** Name and purpose of a process, as shown by `--help`. */
export interface ToolDescription {
  readonly name: string;
  readonly purpose: string;
}

/** Exit code for an invalid setting or input file. */
export const EXIT_INVALID = 2;

/**
 * Reads the settings from the flags and the environment of this process. With `--help` it prints the
 * settings and exits with code 0; if a setting is invalid, it prints the problems to standard error and
 * exits with `EXIT_INVALID`.
 */
export function readSettingsOrExit<S extends SettingsSchema>(
  schema: S,
  tool: ToolDescription,
): z.infer<S> {
  const args = process.argv.slice(2);
  if (args.includes("--help")) {
    process.stdout.write(formatHelp(schema, tool));
    process.exit(0);
  }
  const settings = readSettings(schema, {
    arguments: args,
    environment: process.env,
  });
  if (settings.isErr()) {
    process.stderr.write(settings.error.message + "\n");
    process.exit(EXIT_INVALID);
  }
  return settings.value;
}

function formatHelp(schema: SettingsSchema, tool: ToolDescription): string {
  const settings = describeSettings(schema);
  const width = Math.max(...settings.map(({ flag }) => flag.length));
  const lines = settings.map(({ flag, variable, meaning, defaultValue }) =>
    `  ${flag.padEnd(width)}  ${meaning} [${defaultValue}] (${variable})`
  );
  return [`${tool.name}: ${tool.purpose}`, "", ...lines, ""].join("\n");
}
