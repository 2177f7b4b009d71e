#!/usr/bin/env node
/**
 * `bamboolink-store-standin`: the store stand-in as a process.
 *
 * @module
 */
import { Logger } from "@bamboolink/logger";
import { readSettings } from "@bamboolink/settings";
import { z } from "zod";
import { StoreStandin } from "./store_standin.ts";

const Settings = z.strictObject({
  store_port: z.coerce.number().int().min(0).max(65_535).default(2379).describe(
    "Port on loopback.",
  ),
});

const settings = readSettings(Settings, {
  arguments: process.argv.slice(2),
  environment: process.env,
});
if (settings.isErr()) {
  process.stderr.write(settings.error.message + "\n");
  process.exit(2);
}
const logger = Logger.create("store-standin", {
  format: "human",
  level: "info",
});
const standin = StoreStandin.create();
const port = await standin.listen(settings.value.store_port);
logger.log("process_started", { address: `127.0.0.1:${port}` });
["SIGTERM", "SIGINT"].forEach((signal) =>
  process.on(signal, () => {
    void standin.close().then(() => process.exit(0));
  })
);
