#!/usr/bin/env node
/**
 * Command `bamboolink-load`: runs load with the given settings. Exits with 1 if a non-idempotent request ran
 * more than once, a request was lost or falsely reported as not run, or a response belonged to another request; with
 * 2 for invalid settings or an invalid configuration document.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { parseDocument } from "@bamboolink/configuration";
import { EXIT_INVALID, readSettingsOrExit } from "@bamboolink/settings";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { z } from "zod";
import { formatReport } from "./load_report.ts";
import { LoadRun } from "./load_run.ts";

const number = z.coerce.number({ error: "expected a number" });
const addresses = z.string().transform((text) =>
  text.split(",").map((part) => part.trim()).filter((part) => part !== "")
);

const Settings = z.strictObject({
  targets: addresses.describe(
    "Daemons that requests are sent to, as address:port separated by commas; loopback only.",
  ),
  configuration: z.string().min(1).describe(
    "Path of the configuration document whose operations are called.",
  ),
  ledgers: addresses.default([]).describe(
    "Backend server stand-ins whose ledgers are compared, as address:port separated by commas.",
  ),
  rate: number.min(0.1).max(100_000).default(100).describe(
    "Mean number of requests per second.",
  ),
  seconds: number.min(0.1).max(600).default(5).describe(
    "Length of the run in seconds.",
  ),
  wave: number.min(1).max(20).default(1).describe(
    "Rate in the middle third of the run as a multiple of the rate outside it.",
  ),
  keys: number.int().min(1).default(10_000).describe(
    "Total number of keys.",
  ),
  hot_keys: number.int().min(1).default(10).describe(
    "Number of keys that are hot at the same time.",
  ),
  hot_share: number.min(0).max(1).default(0.2).describe(
    "Share of requests for hot keys, from 0 to 1.",
  ),
  move_every_ms: number.min(1).default(60_000).describe(
    "Interval in milliseconds after which a different set of keys becomes hot.",
  ),
  follow_hints: z.enum(["true", "false"]).default("false").describe(
    "Whether requests are sent to the owner that an earlier response for the key named.",
  ),
  connections: number.int().min(1).max(1_000).default(64).describe(
    "Maximum number of connections to each daemon.",
  ),
  seed: number.int().default(1).describe(
    "Seed of the random number generator.",
  ),
  output: z.enum(["human", "json"]).default("human").describe(
    "Output format of the report.",
  ),
});

const settings = readSettingsOrExit(Settings, {
  name: "bamboolink-load",
  purpose: "open-loop load that checks every response",
});
const document = parseDocument(await readFile(settings.configuration, "utf8"));
if (document.isErr()) {
  process.stderr.write(
    document.error.map(({ path, message }) => `${path}: ${message}\n`).join(""),
  );
  process.exit(EXIT_INVALID);
}
const invalidTargets = settings.targets.filter((target) =>
  !/^(127\.\d+\.\d+\.\d+|localhost|\[::1\]):\d+$/.test(target)
);
if (settings.targets.length === 0 || invalidTargets.length > 0) {
  process.stderr.write(
    `setting --targets: expected at least one loopback address and no others; invalid: ${
      JSON.stringify(invalidTargets)
    }\n`,
  );
  process.exit(2);
}
const generator = xoroshiro128plus(settings.seed);
const report = await LoadRun.create({
  arrivals: {
    rate: settings.rate,
    seconds: settings.seconds,
    peakFactor: settings.wave,
  },
  keys: {
    keys: settings.keys,
    hotKeys: settings.hot_keys,
    hotShare: settings.hot_share,
    moveEveryMs: settings.move_every_ms,
  },
  document: document.value,
  targets: settings.targets,
  ledgers: settings.ledgers,
  followHints: settings.follow_hints === "true",
  connections: settings.connections,
  random: () => uniformFloat64(generator),
}).run();
process.stdout.write(
  (settings.output === "json"
    ? JSON.stringify(report)
    : formatReport(report).join("\n")) + "\n",
);
const violations = report.doubled + report.lost + report.falselyNotRun +
  (report.totals.crossed ?? 0);
process.exit(violations === 0 ? 0 : 1);
