#!/usr/bin/env node
/**
 * `bamboolink`: the operators' command line as a process.
 *
 * @module
 */
import { createCommandLine } from "./command_line.ts";

await createCommandLine().runExit(process.argv.slice(2));
