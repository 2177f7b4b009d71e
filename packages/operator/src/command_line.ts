/**
 * The commands of `bamboolink`.
 *
 * @module
 */
import { Builtins, Cli } from "clipanion";
import {
  ConfigApply,
  ConfigDiff,
  ConfigHistory,
  ConfigShow,
  ConfigValidate,
} from "./configuration_commands.ts";
import { DeclareLost, Drain, Owner, Status } from "./fleet_commands.ts";

/** Creates the command line with all its commands. */
export function createCommandLine(): Cli {
  const cli = new Cli({
    binaryLabel: "bamboolink",
    binaryName: "bamboolink",
    binaryVersion: "0.1.0",
  });
  [
    Builtins.HelpCommand,
    Builtins.VersionCommand,
    ConfigValidate,
    ConfigApply,
    ConfigShow,
    ConfigHistory,
    ConfigDiff,
    Status,
    Owner,
    Drain,
    DeclareLost,
  ].forEach((command) => cli.register(command));
  return cli;
}
