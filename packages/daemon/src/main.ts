#!/usr/bin/env node
/**
 * `bamboolinkd`: the daemon as a process.
 *
 * @module
 */
import { Logger } from "@bamboolink/logger";
import { describeSettings } from "@bamboolink/settings";
import { Daemon } from "./daemon.ts";
import { DaemonSettings, readDaemonSettings } from "./daemon_settings.ts";

/** Exit codes; the operators' page lists them. */
const EXIT_FAILED = 1;
const EXIT_SETTINGS = 2;

const given = process.argv.slice(2);
if (given.includes("--help")) {
  process.stdout.write(
    "bamboolinkd: the bamboolink daemon beside one backend server\n\n",
  );
  describeSettings(DaemonSettings).forEach((
    { flag, variable, meaning, fallback },
  ) =>
    process.stdout.write(
      `  ${flag.padEnd(26)} ${meaning} [${fallback}] (${variable})\n`,
    )
  );
  process.exit(0);
}
const settings = readDaemonSettings({
  arguments: given,
  environment: process.env,
});
if (settings.isErr()) {
  process.stderr.write(settings.error.message + "\n");
  process.exit(EXIT_SETTINGS);
}
const { host, log_format: format, log_level: level } = settings.value;
const logger = Logger.create(host, { format, level });
process.on(
  "unhandledRejection",
  (cause) => logger.log("unexpected_error", { step: "process", cause }),
);
const daemon = Daemon.create(settings.value);
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
