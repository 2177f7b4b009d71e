/**
 * Checks that generated pages match the code and that the layers keep their rules; `--write` writes the
 * pages anew.
 *
 * @module
 */
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { EVENTS } from "../packages/logger/dist/mod.js";
import { describeSettings } from "../packages/settings/dist/mod.js";
import { DaemonSettings } from "../packages/daemon/dist/mod.js";

/** Packages that decide; they may import each other and nothing that talks. */
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
/** Words that only `platform/` may know. */
const PLATFORM_NAMES =
  /x-attempt-id|x-deadline-ms|x-shard-key|x-expected-instance|x-caller-service|x-server-signature|x-not-executed|kv-(key|range|watch|txn|lease|keep)|\/-\/|heartbeat_addr|cold_remaining_ms|op\/config/i;
/** What only the edges may use. Reading state charts from files is the one use of `node:fs`. */
const EDGE_IMPORTS =
  /from "(undici|node:(http|http2|net|timers|dgram|child_process)[^"]*|@connectrpc\/[^"]*|@bamboolink\/(daemon|store|protocol|logger|metrics|operator|load)[^"]*)"/;
const CLOCK_READS =
  /\b(Date\.now|performance\.now|process\.hrtime|Math\.random|setTimeout|setInterval)\b/;

const problems = [];

function writeEvents() {
  const rows = Object.entries(EVENTS).map(([name, event]) =>
    `| BL${event.number} | \`${name}\` | ${event.severity} | ${event.meaning} | ${event.action} |`
  );
  return [
    "# Log events",
    "",
    "Generated from `packages/logger/src/events.ts` by `node scripts/check_docs.mjs --write`; CI checks",
    "that it is up to date. Numbers never change and are never used again. With `--log-format json` each",
    "line is one JSON object with `time`, `severity`, `event` (the number), `name`, `process` and the",
    "fields of the event. Errors carry the `step` and the `peer` at which they arose.",
    "",
    "| number | name | severity | meaning | what to do |",
    "| --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function writeSettings() {
  const rows = describeSettings(DaemonSettings).map((setting) =>
    `| \`${setting.flag}\` | \`${setting.variable}\` | ${setting.defaultValue} | ${setting.meaning} |`
  );
  return [
    "# Settings of the daemon",
    "",
    "Generated from `packages/daemon/src/daemon_settings.ts` by `node scripts/check_docs.mjs --write`. A",
    "flag goes before its environment variable. A wrong setting ends the process with exit code 2 and a",
    "line that names it.",
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

function folderOf(name) {
  return `packages/${name}/src`;
}

function sourcesIn(folder) {
  return readdirSync(folder, { recursive: true })
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
    .map((file) => ({
      file: `${folder}/${file}`,
      text: readFileSync(`${folder}/${file}`, "utf8"),
    }));
}

function checkLayers() {
  DECISION_PACKAGES.map(folderOf).flatMap(sourcesIn).forEach(
    ({ file, text }) => {
      const edge = EDGE_IMPORTS.exec(text);
      const clock = CLOCK_READS.exec(text);
      if (edge !== null) {
        problems.push(`${file}: decision code may not import ${edge[1]}`);
      }
      if (clock !== null) {
        problems.push(`${file}: decision code may not read ${clock[1]}`);
      }
    },
  );
}

function checkEventNumbers() {
  const numbers = Object.values(EVENTS).map((event) => event.number);
  const twice = numbers.filter((number, index) =>
    numbers.indexOf(number) < index
  );
  twice.forEach((number) =>
    problems.push(`event number ${number} stands twice`)
  );
}

function checkPlatformNames() {
  readdirSync("packages").map(folderOf).flatMap(sourcesIn).forEach(
    ({ file, text }) => {
      const name = PLATFORM_NAMES.exec(text);
      if (name !== null) {
        problems.push(`${file}: only platform/ may know ${name[0]}`);
      }
    },
  );
}

/** An event that is never written would promise operators an alarm that can't come. */
function checkEventsAreWritten() {
  const written = [...readdirSync("packages").map(folderOf), "platform/src"]
    .flatMap(sourcesIn)
    .filter(({ file }) => file !== "packages/logger/src/events.ts")
    .map(({ text }) => text)
    .join("\n");
  Object.keys(EVENTS)
    .filter((name) => !written.includes(`"${name}"`))
    .forEach((name) => problems.push(`event ${name} is never written`));
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

checkPage("docs/EVENTS.md", writeEvents());
checkPage("docs/SETTINGS.md", writeSettings());
checkLayers();
checkPlatformNames();
checkEventNumbers();
checkEventsAreWritten();
checkReadmes();
problems.forEach((problem) => console.error(problem));
process.exitCode = problems.length === 0 ? 0 : 1;
