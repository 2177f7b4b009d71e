/**
 * Checks that the generated pages match the code, that packages respect the import rules of their layer, and
 * that log events are numbered uniquely and used; `--write` regenerates the pages.
 *
 * @module
 */
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { EVENTS } from "../packages/logger/dist/mod.js";
import { describeSettings } from "../packages/settings/dist/mod.js";
import { DaemonSettings } from "../packages/daemon/dist/mod.js";

/** Packages with decision logic: they may import each other, but perform no I/O, read no clock and import no package that does. */
const DECISION_PACKAGES = [
  "types",
  "errors",
  "configuration",
  "view",
  "routing",
  "ownership",
  "admission",
  "keyspace",
  "membership",
  "placement",
  "quarantine",
  "traffic",
];
/** Names of the platform's protocols that only `platform/` may contain. */
const PLATFORM_NAMES =
  /x-attempt-id|x-deadline-ms|x-shard-key|x-expected-instance|x-caller-service|x-server-signature|x-not-executed|kv-(key|range|watch|txn|lease|keep)|\/-\/|heartbeat_addr|cold_remaining_ms|op\/config/i;
/**
 * Modules that decision packages may not import, since they perform I/O. `node:fs` is allowed, for reading state charts
 * from files only.
 */
const IO_IMPORTS =
  /from "(undici|node:(http|http2|net|timers|dgram|child_process)[^"]*|@connectrpc\/[^"]*|@bamboolink\/(daemon|store|protocol|logger|metrics|operator|load)[^"]*)"/;
/** Uses of clocks, timers and random numbers, which decision packages take as inputs. */
const CLOCK_READS =
  /\b(Date\.now|performance\.now|process\.hrtime|Math\.random|setTimeout|setInterval)\b/;

const problems = [];

function renderEventsPage() {
  const rows = Object.entries(EVENTS).map(([name, event]) =>
    `| BL${event.number} | \`${name}\` | ${event.severity} | ${event.meaning} | ${event.action} |`
  );
  return [
    "# Log events",
    "",
    "Generated from `packages/logger/src/events.ts` by `node scripts/check_docs.mjs --write`; CI checks",
    "that it is up to date. Event numbers never change and are never reused. With `--log-format json` each",
    "line is one JSON object with `time`, `severity`, `event` (the number), `name`, `process` and the",
    "fields of the event. Errors carry the `step` that failed and the `peer` involved.",
    "",
    "| number | name | severity | meaning | what to do |",
    "| --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function renderSettingsPage() {
  const rows = describeSettings(DaemonSettings).map((setting) =>
    `| \`${setting.flag}\` | \`${setting.variable}\` | ${setting.defaultValue} | ${setting.meaning} |`
  );
  return [
    "# Settings of the daemon",
    "",
    "Generated from `packages/daemon/src/daemon_settings.ts` by `node scripts/check_docs.mjs --write`. A",
    "flag takes precedence over its environment variable. An invalid setting ends the process with exit",
    "code 2 and an error message that names the setting.",
    "",
    "| flag | variable | default | meaning |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function checkPage(path, text) {
  if (process.argv.includes("--write")) {
    writeFileSync(path, text);
    return;
  }
  if (readFileSync(path, "utf8") !== text) {
    problems.push(
      `${path} is out of date; run: node scripts/check_docs.mjs --write`,
    );
  }
}

function sourceFolderOf(name) {
  return `packages/${name}/src`;
}

function readSources(folder) {
  return readdirSync(folder, { recursive: true })
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
    .map((file) => ({
      file: `${folder}/${file}`,
      text: readFileSync(`${folder}/${file}`, "utf8"),
    }));
}

function checkLayers() {
  DECISION_PACKAGES.map(sourceFolderOf).flatMap(readSources).forEach(
    ({ file, text }) => {
      const forbiddenImport = IO_IMPORTS.exec(text);
      const clockRead = CLOCK_READS.exec(text);
      if (forbiddenImport !== null) {
        problems.push(
          `${file}: decision packages may not import ${forbiddenImport[1]}`,
        );
      }
      if (clockRead !== null) {
        problems.push(`${file}: decision packages may not use ${clockRead[1]}`);
      }
    },
  );
}

function checkEventNumbers() {
  const numbers = Object.values(EVENTS).map((event) => event.number);
  const duplicates = numbers.filter((number, index) =>
    numbers.indexOf(number) < index
  );
  duplicates.forEach((number) =>
    problems.push(`event number ${number} is used more than once`)
  );
}

function checkPlatformNames() {
  readdirSync("packages").map(sourceFolderOf).flatMap(readSources).forEach(
    ({ file, text }) => {
      const name = PLATFORM_NAMES.exec(text);
      if (name !== null) {
        problems.push(`${file}: only platform/ may contain ${name[0]}`);
      }
    },
  );
}

/** Operators may set an alarm on each documented event; an event that is never logged could not trigger it. */
function checkEventsAreLogged() {
  const sources = [
    ...readdirSync("packages").map(sourceFolderOf),
    "platform/src",
  ]
    .flatMap(readSources)
    .filter(({ file }) => file !== "packages/logger/src/events.ts")
    .map(({ text }) => text)
    .join("\n");
  Object.keys(EVENTS)
    .filter((name) => !sources.includes(`"${name}"`))
    .forEach((name) => problems.push(`event ${name} is never logged`));
}

function checkReadmes() {
  readdirSync("packages").forEach((name) => {
    try {
      readFileSync(`packages/${name}/README.md`);
    } catch {
      problems.push(`packages/${name}/README.md is missing`);
    }
  });
}

checkPage("docs/EVENTS.md", renderEventsPage());
checkPage("docs/SETTINGS.md", renderSettingsPage());
checkLayers();
checkPlatformNames();
checkEventNumbers();
checkEventsAreLogged();
checkReadmes();
problems.forEach((problem) => console.error(problem));
process.exitCode = problems.length === 0 ? 0 : 1;
