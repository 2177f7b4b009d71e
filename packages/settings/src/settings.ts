/**
 * Reads settings from flags (`--data-port 8080`, `--data-port=8080`) and environment variables
 * (`BAMBOOLINK_DATA_PORT`), a flag before a variable, and checks them against a schema.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

/** All problems with the settings, one line each, each naming the setting. */
export class SettingsError extends Error {
  private constructor(readonly problems: readonly string[]) {
    super(problems.join("\n"));
    this.name = "SettingsError";
  }

  /** Creates an error from its problems. */
  static create(problems: readonly string[]): SettingsError {
    return new SettingsError(problems);
  }
}

/** One setting, for `--help` and for the operators' page. */
export interface SettingDescription {
  readonly flag: string;
  readonly variable: string;
  readonly meaning: string;
  readonly defaultValue: string;
}

type Shape = z.ZodObject<Record<string, z.ZodType>>;

/** Flag of a setting: `data_port` becomes `--data-port`. */
function flagOf(name: string): string {
  return "--" + name.replaceAll("_", "-");
}

/** Environment variable of a setting: `data_port` becomes `BAMBOOLINK_DATA_PORT`. */
function variableOf(name: string): string {
  return "BAMBOOLINK_" + name.toUpperCase();
}

/** Describes each setting of a schema; meanings come from the schema's `describe`. */
export function describeSettings(schema: Shape): SettingDescription[] {
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
 * Reads the settings of one process.
 *
 * @returns the checked settings, or an error with a line for each wrong setting.
 */
export function readSettings<S extends Shape>(
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
  given: readonly string[],
): Result<Record<string, string | undefined>, SettingsError> {
  const options = Object.fromEntries(
    names.map((
      name,
    ) => [name.replaceAll("_", "-"), { type: "string" as const }]),
  );
  try {
    const { values } = parseArgs({
      args: [...given],
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

/** What a process says of itself in `--help`. */
export interface ToolDescription {
  readonly name: string;
  readonly purpose: string;
}

/** Exit code for a wrong setting or input file. */
export const EXIT_INVALID = 2;

/**
 * Reads the settings of a process from its own flags and environment. `--help` prints the settings and
 * ends it; a wrong setting is named and ends it with `EXIT_INVALID`.
 */
export function readSettingsOrExit<S extends Shape>(
  schema: S,
  tool: ToolDescription,
): z.infer<S> {
  const given = process.argv.slice(2);
  if (given.includes("--help")) {
    process.stdout.write(writeHelp(schema, tool));
    process.exit(0);
  }
  const settings = readSettings(schema, {
    arguments: given,
    environment: process.env,
  });
  if (settings.isErr()) {
    process.stderr.write(settings.error.message + "\n");
    process.exit(EXIT_INVALID);
  }
  return settings.value;
}

function writeHelp(schema: Shape, tool: ToolDescription): string {
  const settings = describeSettings(schema);
  const width = Math.max(...settings.map(({ flag }) => flag.length));
  const lines = settings.map(({ flag, variable, meaning, defaultValue }) =>
    `  ${flag.padEnd(width)}  ${meaning} [${defaultValue}] (${variable})`
  );
  return [`${tool.name}: ${tool.purpose}`, "", ...lines, ""].join("\n");
}
