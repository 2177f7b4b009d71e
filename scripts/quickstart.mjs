/**
 * Starts the example fleet on loopback, sends load to it and prints the results; with `--keep` it stays up.
 *
 * @module
 */
import { fileURLToPath } from "node:url";
import { ATLAS_HOSTS, ProcessFleet, waitFor } from "./fleet.mjs";

const keepsRunning = process.argv.includes("--keep");
const configurationPath = fileURLToPath(
  new URL("../examples/atlas.json", import.meta.url),
);
const fleet = new ProcessFleet(
  fileURLToPath(new URL("../.run/quickstart", import.meta.url)),
);

async function main() {
  await fleet.startStore();
  console.log(`store stand-in at ${fleet.store}`);
  const hosts = await Promise.all(
    ATLAS_HOSTS.map((spec) => fleet.startHost(spec)),
  );
  console.log(
    `${hosts.length} daemons in 3 availability zones, each with a backend server on its host`,
  );
  const applied = await runOperator([
    "config",
    "apply",
    configurationPath,
    "--wait",
    "--note",
    "quickstart",
  ]);
  console.log(applied.stdout.split("\n").slice(0, 2).join("; "));
  await waitFor(() => isEveryPartitionOwned(), "owners of all keys");
  const burnRateReport = fleet.runTool("burn", [
    "--sources",
    hosts.map(({ host, admin }) => `${host}=${admin}`).join(","),
    "--configuration",
    configurationPath,
    "--seconds",
    "7",
    "--short-seconds",
    "3",
    "--every-seconds",
    "1",
  ]);
  const load = await fleet.runTool("load", [
    "--targets",
    hosts.map((host) => host.data).join(","),
    "--ledgers",
    hosts.map((host) => host.backend).join(","),
    "--configuration",
    configurationPath,
    "--rate",
    "400",
    "--seconds",
    "5",
  ]);
  console.log(`\n${load.stdout}${load.stderr}`);
  console.log((await burnRateReport).stdout);
  console.log((await runOperator(["status"])).stdout);
  console.log(
    (await runOperator(["owner", "key-7", "--service", "order-book"])).stdout,
  );
  if (keepsRunning) {
    return await keepRunning(hosts);
  }
  await fleet.stop();
  process.exitCode = load.code;
}

function runOperator(args) {
  return fleet.runTool("operator", [...args, "--store", fleet.store]);
}

async function isEveryPartitionOwned() {
  const status = await runOperator(["status", "--json"]);
  if (status.code !== 0) {
    return false;
  }
  const owned = JSON.parse(status.stdout).daemons.reduce(
    (sum, daemon) => sum + daemon.partitions,
    0,
  );
  return owned === 256 + 256 + 1024;
}

async function keepRunning(hosts) {
  const [first] = hosts;
  console.log("The fleet keeps running until you press Ctrl-C. Try:");
  console.log(`  curl -i http://${first.data}/quotes/BC547`);
  console.log(
    `  curl -i -X POST -d '{"lots":1}' http://${first.data}/orders/BC547`,
  );
  console.log(`  curl -s http://${first.admin}/metrics`);
  console.log(`  export BAMBOOLINK_STORE=${fleet.store}`);
  console.log("  node packages/operator/dist/main.js status");
  await new Promise((resolve) =>
    ["SIGINT", "SIGTERM"].forEach((signal) => process.on(signal, resolve))
  );
  await fleet.stop();
}

main().catch(async (error) => {
  console.error(error.message);
  await fleet.stop();
  process.exitCode = 1;
});
