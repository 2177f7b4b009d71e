/**
 * Runs one of the benchmarks behind the capacity page and the design notes: `npm run bench -- NAME [ARGUMENT...]`.
 *
 * @module
 */
const BENCHMARKS = {
  admission: () => import("./bench/admission.mjs"),
  callers: () => import("./bench/callers.mjs"),
  ownership: () => import("./bench/ownership.mjs"),
  capacity: () => import("./bench/capacity.mjs"),
  limit: () => import("./bench/limit.mjs"),
  hop: () => import("./bench/hop.mjs"),
  requests: () => import("./bench/requests.mjs"),
  processor: () => import("./bench/processor.mjs"),
  decoding: () => import("./bench/decoding.mjs"),
  steps: () => import("./bench/steps.mjs"),
};

const name = process.argv[2];
if (BENCHMARKS[name] === undefined) {
  console.error(
    `unknown benchmark; expected one of: ${Object.keys(BENCHMARKS).join(", ")}`,
  );
  process.exit(2);
}
const { run } = await BENCHMARKS[name]();
process.exitCode = await run(process.argv.slice(3));
