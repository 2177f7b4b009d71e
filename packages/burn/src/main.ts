#!/usr/bin/env node
/**
 * Command `bamboolink-burn`: samples the counters of daemons for a while and prints the burn report. Exits with 2 for
 * invalid settings or an invalid configuration document.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { parseDocument } from "@bamboolink/configuration";
import { EXIT_INVALID, readSettingsOrExit } from "@bamboolink/settings";
import { request } from "undici";
import { z } from "zod";
import { formatBurnTable, renderBurnPage } from "./burn_output.ts";
import {
  type BurnSample,
  computeBurn,
  type CounterSample,
} from "./burn_report.ts";

const seconds = z.coerce.number({ error: "expected a number of seconds" }).min(
  0.1,
).max(
  86_400,
);

const Settings = z.strictObject({
  sources: z.string({
    error: "expected host=address:port, separated by commas",
  })
    .regex(
      /^[^=,]+=[^=,]+(,[^=,]+=[^=,]+)*$/,
      "expected host=address:port, separated by commas",
    )
    .describe(
      "Admin addresses of the daemons, as host=address:port separated by commas.",
    ),
  configuration: z.string({ error: "expected a file path" }).min(1).describe(
    "Path of the configuration document.",
  ),
  seconds: seconds.default(60).describe(
    "How long counters are sampled, in seconds; also the length of the long window.",
  ),
  short_seconds: seconds.default(10).describe(
    "Length of the short window in seconds.",
  ),
  every_seconds: seconds.default(2).describe(
    "Time between two samples in seconds.",
  ),
  output: z.enum(["human", "json", "html"], {
    error: "expected human, json or html",
  }).default("human").describe("Output format of the report."),
});

const settings = readSettingsOrExit(Settings, {
  name: "bamboolink-burn",
  purpose: "how fast services use up their error budgets",
});
const document = parseDocument(await readFile(settings.configuration, "utf8"));
if (document.isErr()) {
  process.stderr.write(
    document.error.map(({ path, message }) => `${path}: ${message}\n`).join(""),
  );
  process.exit(EXIT_INVALID);
}
const sources = settings.sources.split(",").map((source) =>
  source.split("=") as [string, string]
);
const samples: BurnSample[] = [];
const endsAtMs = performance.now() + settings.seconds * 1_000;
samples.push(await fetchSample());
while (performance.now() < endsAtMs) {
  await sleep(settings.every_seconds * 1_000);
  samples.push(await fetchSample());
}
const report = computeBurn(samples, {
  services: document.value.services,
  shortMs: settings.short_seconds * 1_000,
  longMs: settings.seconds * 1_000 + 1,
});
const outputs = {
  human: () => formatBurnTable(report).join("\n") + "\n",
  json: () => JSON.stringify(report) + "\n",
  html: () => renderBurnPage(report),
};
process.stdout.write(outputs[settings.output]());

async function fetchSample(): Promise<BurnSample> {
  const hosts = await Promise.all(
    sources.map(async ([host, address]) =>
      [host, await fetchCounters(address)] as const
    ),
  );
  return {
    recordedAtMs: performance.now(),
    hosts: Object.fromEntries(
      hosts.filter(([, counters]) => counters !== undefined),
    ) as BurnSample["hosts"],
  };
}

async function fetchCounters(
  address: string,
): Promise<CounterSample[] | undefined> {
  try {
    const response = await request(`http://${address}/counters`, {
      signal: AbortSignal.timeout(1_000),
    });
    return await response.body.json() as CounterSample[];
  } catch {
    return undefined;
  }
}
