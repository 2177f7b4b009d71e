#!/usr/bin/env node
/**
 * `bamboolink-load`: the load tool as a process.
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
    "Daemons to call, address:port with commas; loopback only.",
  ),
  configuration: z.string().min(1).describe(
    "File with the configuration document whose operations are called.",
  ),
  ledgers: addresses.default([]).describe(
    "Backend server stand-ins whose ledgers are compared.",
  ),
  rate: number.min(0.1).max(100_000).default(100).describe(
    "Mean requests a second.",
  ),
  seconds: number.min(0.1).max(600).default(5).describe("Length of the run."),
  wave: number.min(1).max(20).default(1).describe(
    "Rate in the middle third, as many times the rate outside it.",
  ),
  keys: number.int().min(1).default(10_000).describe(
    "How many keys there are.",
  ),
  hot_keys: number.int().min(1).default(10).describe(
    "How many of them are hot at a time.",
  ),
  hot_share: number.min(0).max(1).default(0.2).describe(
    "Share of the requests that go to hot keys.",
  ),
  move_every_ms: number.min(1).default(60_000).describe(
    "How often the hot keys change.",
  ),
  follow_hints: z.enum(["true", "false"]).default("false").describe(
    "Whether callers go to the owner named by an earlier answer.",
  ),
  connections: number.int().min(1).max(1_000).default(64).describe(
    "Connections to each daemon.",
  ),
  seed: number.int().default(1).describe("Seed of the random choices."),
  output: z.enum(["human", "json"]).default("human").describe(
    "How the report is printed.",
  ),
});

const settings = readSettingsOrExit(Settings, {
  name: "bamboolink-load",
  purpose: "open-loop load that checks every answer",
});
const document = parseDocument(await readFile(settings.configuration, "utf8"));
if (document.isErr()) {
  process.stderr.write(
    document.error.map(({ path, message }) => `${path}: ${message}\n`).join(""),
  );
  process.exit(EXIT_INVALID);
}
const foreign = settings.targets.filter((target) =>
  !/^(127\.\d+\.\d+\.\d+|localhost|\[::1\]):\d+$/.test(target)
);
if (settings.targets.length === 0 || foreign.length > 0) {
  process.stderr.write(
    `setting --targets: expected addresses on loopback; it is ${
      JSON.stringify(foreign)
    }\n`,
  );
  process.exit(2);
}
const generator = xoroshiro128plus(settings.seed);
const report = await LoadRun.create({
  arrivals: {
    rate: settings.rate,
    seconds: settings.seconds,
    wave: settings.wave,
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
const broken = report.doubled + report.lost + report.falselyNotRun +
  (report.totals.crossed ?? 0);
process.exit(broken === 0 ? 0 : 1);
