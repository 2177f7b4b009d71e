/**
 * Bundles each deployed program into one file under `target/`, beside a V8 code cache: a start then reads two
 * files instead of hundreds and compiles little. Requests wait for a process that restarts after a crash.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

/**
 * Flags that postpone optimization by V8. The program sets them itself once Node.js has loaded its built-in modules,
 * since their embedded code cache is valid only with the flags that it was built with.
 *
 * - The interrupt budget, after which V8 optimizes a function, is four times the default: in the first minutes of a
 *   daemon, optimization costs more CPU time than it saves.
 * - No function of WebAssembly, in which the HTTP client parses responses, is optimized: the filter names an index
 *   that none has. Otherwise V8 optimizes the parser, one function of 34 kB, during the first response. That takes some
 *   200 ms of CPU time, a third of a start, and 29 MB of memory, and saves less than 0.5 microseconds a response.
 */
const V8_FLAGS = [
  "--interrupt-budget=270000",
  "--wasm-tier-up-filter=1000000",
];
const BUNDLE = "target/bamboolink-router.bundle.cjs";
const PROGRAM = "target/bamboolink-router.cjs";

/** Built-in modules of Node.js that the bundle imports. */
const BUILTIN_MODULES = [
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

/** The program that runs the bundle: from the code cache if V8 accepts it, otherwise compiled from source. */
const LOADER = `"use strict";
const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");
${BUILTIN_MODULES.map((name) => `require("${name}");`).join("\n")}
${V8_FLAGS.map((flag) => `setFlagsFromString("${flag}");`).join("\n")}
const filename = join(__dirname, "bamboolink-router.bundle.cjs");
const cache = join(__dirname, "bamboolink-router.cache");
const text = readFileSync(filename, "utf8");
const source = "(function (exports, require, module, __filename, __dirname) {" + text + "\\n})";
const makesCache = process.argv[2] === "--make-cache";
let cachedData;
try {
  cachedData = makesCache ? undefined : readFileSync(cache);
} catch {
  // Without a code cache the source is compiled.
}
if (makesCache) {
  // Compile all functions, so that the cache also holds those that are first called during start-up.
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
 * Library modules that the bundled programs never use, with the source that replaces them. Loading them takes a third
 * of the start-up time, for which requests wait after a crash.
 */
const UNUSED_MODULES = [
  // HTTP/2, which also loads TLS: backend servers use HTTP/1.1.
  [/undici\/lib\/dispatcher\/client-h2\.js$/, "module.exports = undefined;"],
  // Metrics are scraped from each process, so neither the push gateway nor cluster aggregation is needed.
  [
    /prom-client\/lib\/(pushgateway|cluster)\.js$/,
    "module.exports = class {};",
  ],
  [
    /prom-client\/lib\/defaultMetrics\.js$/,
    "module.exports = () => {}; module.exports.metricsList = [];",
  ],
  // Histograms are read in the process that records them: none is compressed, none uses WebAssembly.
  [/node_modules\/pako\/.*\.js$/, "module.exports = {};"],
  [/@assemblyscript\/loader\/.*\.js$/, "module.exports = {};"],
  // Histograms are not written to logs; creating the number formats of the log writer takes 25 ms.
  [
    /hdr-histogram-js\/dist\/HistogramLogWriter\.js$/,
    "exports.default = class {};",
  ],
  // Error messages are in English, whose locale is loaded without this index.
  [/zod\/v4\/locales\/index\.(js|cjs)$/, "export {};"],
];

const replaceUnusedModules = {
  name: "replace-unused-modules",
  setup(builder) {
    UNUSED_MODULES.forEach(([filter, contents]) =>
      builder.onLoad({ filter }, () => ({ contents, loader: "js" }))
    );
  },
};

await build({
  plugins: [replaceUnusedModules],
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
  // Contains a native library, which must be loaded from its installed location.
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
