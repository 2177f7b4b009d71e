/**
 * Measurements behind the capacity page and the design notes: `npm run bench -- NAME`.
 *
 * @module
 */
const BENCHES = {
  ownership: () => import("./bench/ownership.mjs"),
  capacity: () => import("./bench/capacity.mjs"),
  hop: () => import("./bench/hop.mjs"),
  requests: () => import("./bench/requests.mjs"),
  processor: () => import("./bench/processor.mjs"),
};

const name = process.argv[2];
if (BENCHES[name] === undefined) {
  console.error(`expected one of: ${Object.keys(BENCHES).join(", ")}`);
  process.exit(2);
}
const { run } = await BENCHES[name]();
process.exitCode = await run(process.argv.slice(3));
