#!/usr/bin/env node
/**
 * `bamboolinkd`: the daemon as a process.
 *
 * @module
 */
import { Logger } from "@bamboolink/logger";
import { readSettingsOrExit } from "@bamboolink/settings";
import { Daemon } from "./daemon.ts";
import { DaemonSettings } from "./daemon_settings.ts";

/** Exit code of a daemon that failed to start or to stop. */
const EXIT_FAILED = 1;

const settings = readSettingsOrExit(DaemonSettings, {
  name: "bamboolinkd",
  purpose: "the bamboolink daemon on the host of one backend server",
});
const { host, log_format: format, log_level: level } = settings;
const logger = Logger.create(host, { format, level });
process.on(
  "unhandledRejection",
  (cause) => logger.log("unexpected_error", { step: "process", cause }),
);
const daemon = Daemon.create(settings);
try {
  await daemon.start();
} catch (cause) {
  logger.log("process_failed", { cause });
  process.exit(EXIT_FAILED);
}
["SIGTERM", "SIGINT"].forEach((signal) =>
  process.on(signal, () => {
    daemon.stop().then(() => process.exit(0), (cause) => {
      logger.log("process_failed", { cause });
      process.exit(EXIT_FAILED);
    });
  })
);
