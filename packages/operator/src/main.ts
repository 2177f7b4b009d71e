#!/usr/bin/env node
/**
 * Entry point of `bamboolink`, the command line for operators.
 *
 * @module
 */
import { createCommandLine } from "./command_line.ts";

await createCommandLine().runExit(process.argv.slice(2));
