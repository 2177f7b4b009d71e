/**
 * Bundles the deployed programs into one file each under `target/`: a start reads one file instead of
 * hundreds.
 *
 * @module
 */
import { build } from "esbuild";

await build({
  entryPoints: { "bamboolink-router": "platform/dist/main.js" },
  outdir: "target",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifySyntax: true,
  // Holds a native library, which is loaded from where it is installed.
  external: ["koffi"],
  define: { "import.meta.url": "bundleUrl" },
  banner: {
    js: 'const bundleUrl = require("node:url").pathToFileURL(__filename).href;',
  },
  logLevel: "warning",
});
