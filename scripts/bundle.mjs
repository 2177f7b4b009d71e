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
 * Functions are optimized after four times as much use as usual: in a daemon's first minutes optimizing costs more than it
 * saves. The program sets this itself once it has loaded the runtime's own modules, since the compiled code that the
 * runtime brings for them fits only the flags that it was built with.
 */
const FLAGS = ["--interrupt-budget=270000"];
const BUNDLE = "target/bamboolink-router.bundle.cjs";
const PROGRAM = "target/bamboolink-router.cjs";

/** The runtime's modules that the bundle uses. */
const RUNTIME_MODULES = [
  "node:async_hooks",
  "node:buffer",
  "node:crypto",
  "node:dgram",
  "node:dns",
  "node:events",
  "node:http",
  "node:module",
  "node:net",
  "node:stream",
  "node:timers/promises",
  "node:util",
];

/** Runs the bundle from compiled code where that fits, and from its text where not. */
const LOADER = `"use strict";
const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");
${RUNTIME_MODULES.map((name) => `require("${name}");`).join("\n")}
${FLAGS.map((flag) => `setFlagsFromString("${flag}");`).join("\n")}
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
if (makesCache) {
  // Functions that are first called in a start are compiled in the build, too.
  setFlagsFromString("--no-lazy");
}
const script = new Script(source, { filename, ...(cachedData ? { cachedData } : {}) });
const wrapped = { exports: {} };
script.runInThisContext()(wrapped.exports, require, wrapped, filename, __dirname);
if (makesCache) {
  setFlagsFromString("--lazy");
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
execFileSync(process.execPath, [PROGRAM, "--make-cache"], {
  stdio: ["ignore", "ignore", "inherit"],
});
