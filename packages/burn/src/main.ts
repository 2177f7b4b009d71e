#!/usr/bin/env node
/**
 * `bamboolink-burn`: the burn report as a process.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { parseDocument } from "@bamboolink/configuration";
import { EXIT_INVALID, readSettingsOrExit } from "@bamboolink/settings";
import { request } from "undici";
import { z } from "zod";
import { formatBurn, writeBurnPage } from "./burn_output.ts";
import {
  type BurnSample,
  computeBurn,
  type CounterSample,
} from "./burn_report.ts";

const seconds = z.coerce.number({ error: "expected seconds" }).min(0.1).max(
  86_400,
);

const Settings = z.strictObject({
  sources: z.string({ error: "expected host=address:port, with commas" })
    .regex(
      /^[^=,]+=[^=,]+(,[^=,]+=[^=,]+)*$/,
      "expected host=address:port, with commas",
    )
    .describe(
      "Admin addresses of the daemons, as host=address:port with commas.",
    ),
  configuration: z.string({ error: "expected a file" }).min(1).describe(
    "File with the configuration document.",
  ),
  seconds: seconds.default(60).describe(
    "How long counters are read; the long window.",
  ),
  short_seconds: seconds.default(10).describe("The short window."),
  every_seconds: seconds.default(2).describe("Time between two readings."),
  output: z.enum(["human", "json", "html"], {
    error: "expected human, json or html",
  }).default("human").describe("How the report is printed."),
});

const settings = readSettingsOrExit(Settings, {
  name: "bamboolink-burn",
  purpose: "how fast services use up what their objectives allow",
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
const endMs = performance.now() + settings.seconds * 1_000;
samples.push(await readSample());
while (performance.now() < endMs) {
  await sleep(settings.every_seconds * 1_000);
  samples.push(await readSample());
}
const report = computeBurn(samples, {
  services: document.value.services,
  shortMs: settings.short_seconds * 1_000,
  longMs: settings.seconds * 1_000 + 1,
});
const outputs = {
  human: () => formatBurn(report).join("\n") + "\n",
  json: () => JSON.stringify(report) + "\n",
  html: () => writeBurnPage(report),
};
process.stdout.write(outputs[settings.output]());

async function readSample(): Promise<BurnSample> {
  const hosts = await Promise.all(
    sources.map(async ([host, address]) =>
      [host, await readCounters(address)] as const
    ),
  );
  return {
    atMs: performance.now(),
    hosts: Object.fromEntries(
      hosts.filter(([, counters]) => counters !== undefined),
    ) as BurnSample["hosts"],
  };
}

async function readCounters(
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
