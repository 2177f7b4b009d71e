/**
 * Tests of gossip that somebody else sends.
 *
 * @module
 */
import { createSocket } from "node:dgram";
import { setTimeout as sleep } from "node:timers/promises";
import { encode } from "@msgpack/msgpack";
import { expect } from "chai";
import { type EventName, Logger } from "@bamboolink/logger";
import {
  encodeGossip,
  type MemberReport,
  MemberView,
} from "@bamboolink/membership";
import { GossipNode, isAddress } from "./gossip_node.ts";

const ADDRESS = "127.0.0.1:21777";
/** A datagram on loopback has arrived by then, in milliseconds. */
const ARRIVED_MS = 50;

const REPORT: MemberReport = {
  address: ADDRESS,
  incarnation: 1,
  sequence: 7,
  availabilityZone: "a",
  forwardAddress: "127.0.0.1:21778",
  service: "rooms",
  phase: "ready",
  slots: 6,
  waitMs: 3,
  serviceMs: 40,
  utilization: 0.5,
  failureShare: 0,
  configurationVersion: 2,
  ownershipRevision: 9,
  reachesStore: true,
};

/** A node that listens; its log is kept. */
async function startNode() {
  const lines: EventName[] = [];
  const logger = Logger.createBounded("test", { level: "error" });
  logger.log = (event: EventName) => void lines.push(event);
  const view = MemberView.create(REPORT);
  const node = GossipNode.create({
    address: ADDRESS,
    view,
    logger,
    random: () => 0,
    describe: () => ({}),
    onReports: () => undefined,
    onDatagram: () => undefined,
  });
  await node.start();
  return { node, view, lines };
}

async function sendBytes(bytes: Uint8Array): Promise<void> {
  const socket = createSocket("udp4");
  const [host, port] = ADDRESS.split(":");
  await new Promise((resolve) =>
    socket.send(bytes, Number(port), host, resolve)
  );
  await sleep(ARRIVED_MS);
  socket.close();
}

describe("gossip node", () => {
  describe("told of addresses that are none", () => {
    // Symptom: a daemon ends with an error about a port.
    // Sequence: somebody sends a datagram in which the sender, or a daemon that it tells of, has no port that there is;
    // the node answers, or tells that daemon in its next round.
    // Cause: a socket throws at such a port, and nobody caught it.
    it("sends nothing there, says so, and goes on", async () => {
      const { node, view, lines } = await startNode();
      const digests = [{ addressHash: 77, incarnation: 1, sequence: 7 }];
      for (const address of ["nonsense", "127.0.0.1:99999", ":1", "a:-3"]) {
        const reports = [{ ...REPORT, address }];
        await sendBytes(encodeGossip({ sender: address, reports, digests }));
        node.announce();
        await sleep(ARRIVED_MS * 4);
      }
      node.close();
      expect(view.knownAddresses).to.have.length(4);
      expect(lines).to.include("gossip_failed");
    });
  });

  describe("sent reports that don't say of whom they are", () => {
    // Symptom: a daemon is missing in the view of others, and no log says why.
    // Sequence: its reports have no numbers where incarnation and sequence stand.
    // Cause: such a row compared as no news, and was left out before it was checked.
    it("takes the others, and says so", async () => {
      const { node, view, lines } = await startNode();
      const other = { ...REPORT, address: "127.0.0.1:21779" };
      const whole = Object.values(other);
      const rows = [whole, ["127.0.0.1:21779", "x", null], [], [7, 7, 7]];
      const sender = other.address;
      await sendBytes(encode([2, sender, rows, new Uint8Array(0)]));
      node.close();
      expect(view.knownAddresses).to.deep.equal([other.address]);
      expect(lines).to.deep.equal(["gossip_malformed"]);
    });
  });
});

describe("an address", () => {
  it("has a host and a port that there is", () => {
    const good = ["127.0.0.1:1", "host:65535", "[::1]:80"];
    const bad = ["", ":", "host", "host:", ":80", "host:0", "host:65536"];
    expect(good.filter((text) => !isAddress(text))).to.deep.equal([]);
    expect(bad.filter(isAddress)).to.deep.equal([]);
    expect(isAddress("host:8.5") || isAddress("host:80/x")).to.equal(false);
  });
});
