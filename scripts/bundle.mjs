/**
 * Bundles the deployed programs into one file each under `target/`, with the code that V8 compiled from
 * it: a start reads two files instead of hundreds and compiles little. Starts after a crash are where
 * requests wait for it.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

/**
 * Must be those of `run` in `deploy/system.toml`: compiled code fits only the flags it was made with.
 *
 * The interrupt budget is four times V8's own, so functions are optimized once they were called four times as much.
 * Optimizing was a sixth to a fifth of the processor time of a daemon in its first minute. From its start over 12 s of
 * rest and 26 s with 25 requests a second a daemon takes 4 to 7 % less with this budget, and 2 % with 50 requests. The
 * price: at 150 requests a second it takes a seventh more in its first minutes, until all is optimized there, too.
 */
const FLAGS = ["--max-old-space-size=160", "--interrupt-budget=270000"];
const BUNDLE = "target/bamboolink-router.bundle.cjs";
const PROGRAM = "target/bamboolink-router.cjs";

/** Runs the bundle from compiled code where that fits, and from its text where not. */
const LOADER = `"use strict";
const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");
const filename = join(__dirname, "bamboolink-router.bundle.cjs");
const cache = join(__dirname, "bamboolink-router.cache");
const text = readFileSync(filename, "utf8");
const source = "(function (exports, require, module, __filename, __dirname) {" + text + "\\n})";
const makesCache = process.argv[2] === "--make-cache";
let cachedData;
try {
  cachedData = makesCache ? undefined : readFileSync(cache);
} catch {
  // Without compiled code the text is compiled.
}
const script = new Script(source, { filename, ...(cachedData ? { cachedData } : {}) });
const wrapped = { exports: {} };
script.runInThisContext()(wrapped.exports, require, wrapped, filename, __dirname);
if (makesCache) {
  require("node:fs").writeFileSync(cache, script.createCachedData());
  process.exit(0);
}
`;

/**
 * Parts of libraries that the bundled programs never use, with what stands for them. Loading them is a third of a
 * start, and a start is what requests wait for after a crash.
 */
const UNUSED_PARTS = [
  // HTTP/2, and with it TLS: backend servers speak HTTP/1.1.
  [/undici\/lib\/dispatcher\/client-h2\.js$/, "module.exports = undefined;"],
  // Metrics are scraped, and each process has its own.
  [
    /prom-client\/lib\/(pushgateway|cluster)\.js$/,
    "module.exports = class {};",
  ],
  [
    /prom-client\/lib\/defaultMetrics\.js$/,
    "module.exports = () => {}; module.exports.metricsList = [];",
  ],
  // Histograms are read where they are filled: none is compressed, and none is kept in WebAssembly.
  [/node_modules\/pako\/.*\.js$/, "module.exports = {};"],
  [/@assemblyscript\/loader\/.*\.js$/, "module.exports = {};"],
  // Histograms are not written to logs, whose number formats take 25 ms to make.
  [
    /hdr-histogram-js\/dist\/HistogramLogWriter\.js$/,
    "exports.default = class {};",
  ],
  // Error messages are in English, which is not among these.
  [/zod\/v4\/locales\/index\.(js|cjs)$/, "export {};"],
];

const leaveOutUnusedParts = {
  name: "leave-out-unused-parts",
  setup(builder) {
    UNUSED_PARTS.forEach(([filter, contents]) =>
      builder.onLoad({ filter }, () => ({ contents, loader: "js" }))
    );
  },
};

await build({
  plugins: [leaveOutUnusedParts],
  entryPoints: ["platform/dist/main.js"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifySyntax: true,
  minifyWhitespace: true,
  alias: {
    undici: fileURLToPath(new URL("undici_client.cjs", import.meta.url)),
  },
  // Holds a native library, which is loaded from where it is installed.
  external: ["koffi"],
  define: { "import.meta.url": "bundleUrl" },
  banner: {
    js: 'const bundleUrl = require("node:url").pathToFileURL(__filename).href;',
  },
  logLevel: "warning",
});
writeFileSync(PROGRAM, LOADER);
execFileSync(process.execPath, [...FLAGS, PROGRAM, "--make-cache"], {
  stdio: ["ignore", "ignore", "inherit"],
});
