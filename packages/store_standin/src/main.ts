#!/usr/bin/env node
/**
 * Command `bamboolink-store-standin`: runs the stand-in for the key-value service until SIGTERM or SIGINT.
 *
 * @module
 */
import { Logger } from "@bamboolink/logger";
import { readSettingsOrExit } from "@bamboolink/settings";
import { z } from "zod";
import { StoreStandin } from "./store_standin.ts";

const Settings = z.strictObject({
  store_port: z.coerce.number().int().min(0).max(65_535).default(2379).describe(
    "Port on loopback; 0 lets the system choose.",
  ),
});

const settings = readSettingsOrExit(Settings, {
  name: "bamboolink-store-standin",
  purpose: "a stand-in for the platform's key-value service",
});
const logger = Logger.create("store-standin", {
  format: "human",
  level: "info",
});
const standin = StoreStandin.create();
const port = await standin.listen(settings.store_port);
logger.log("process_started", { address: `127.0.0.1:${port}` });
["SIGTERM", "SIGINT"].forEach((signal) =>
  process.on(signal, () => {
    void standin.close().then(() => process.exit(0));
  })
);
