/**
 * Brings a fleet up on loopback, runs the main job on it and says what came of it.
 *
 * @module
 */
import { fileURLToPath } from "node:url";
import { ATLAS_HOSTS, ProcessFleet, waitFor } from "./fleet.mjs";

const keep = process.argv.includes("--keep");
const document = fileURLToPath(
  new URL("../examples/atlas.json", import.meta.url),
);
const fleet = new ProcessFleet(
  fileURLToPath(new URL("../.run/quickstart", import.meta.url)),
);

async function main() {
  await fleet.startStore();
  console.log(`store stand-in at ${fleet.store}`);
  const hosts = await Promise.all(
    ATLAS_HOSTS.map((place) => fleet.startHost(place)),
  );
  console.log(
    `${hosts.length} daemons, each beside its own backend server, in 3 availability zones`,
  );
  const applied = await operate([
    "config",
    "apply",
    document,
    "--wait",
    "--note",
    "quickstart",
  ]);
  console.log(applied.stdout.split("\n").slice(0, 2).join("; "));
  await waitFor(() => everyPartitionOwned(), "owners for all keys");
  const burning = fleet.runTool("burn", [
    "--sources",
    hosts.map(({ host, admin }) => `${host}=${admin}`).join(","),
    "--configuration",
    document,
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
    document,
    "--rate",
    "400",
    "--seconds",
    "5",
  ]);
  console.log(`\n${load.stdout}${load.stderr}`);
  console.log((await burning).stdout);
  console.log((await operate(["status"])).stdout);
  console.log(
    (await operate(["owner", "key-7", "--service", "order-book"])).stdout,
  );
  if (keep) {
    return await stayUp(hosts);
  }
  await fleet.stop();
  process.exitCode = load.code;
}

function operate(args) {
  return fleet.runTool("operator", [...args, "--store", fleet.store]);
}

async function everyPartitionOwned() {
  const status = await operate(["status", "--json"]);
  if (status.code !== 0) {
    return false;
  }
  const owned = JSON.parse(status.stdout).daemons.reduce(
    (sum, daemon) => sum + daemon.partitions,
    0,
  );
  return owned === 256 + 256 + 1024;
}

async function stayUp(hosts) {
  const [first] = hosts;
  console.log("The fleet stays up until you press Ctrl-C. Try:");
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
