/**
 * Chooses the recipients of gossip.
 *
 * @module
 */
import type { MemberView } from "./member_view.ts";
import { sampleWithoutReplacement } from "./sample_without_replacement.ts";

/** Recipients per round in this daemon's availability zone. */
const OWN_ZONE_FANOUT = 2;
/**
 * Recipients per round in other availability zones. Traffic to them is charged by the byte, and one is enough
 * because it forwards what it receives within its own zone.
 */
const OTHER_ZONE_FANOUT = 1;
/** Recipients per round while no other daemon is known to be alive. */
const BOOTSTRAP_FANOUT = 3;
/**
 * Datagrams per round with reports of other daemons that leave a zone. Membership needs the digests, which each
 * datagram carries, and the sender's own report; the loads of other zones may be a few seconds older. At 88 daemons in
 * four zones, 3 save 43 % of the bytes of gossip between zones, and less saves no more, since digests are the rest.
 */
const REPORT_DATAGRAMS_PER_ZONE = 3;
/** Probability that gossip is also sent to a daemon that is unresponsive or from which no report was received. */
const PROBE_PROBABILITY = 0.2;

/** Chooses the recipients of one gossip round; returns their addresses. */
export function chooseGossipTargets(
  view: MemberView,
  now: { nowMs: number; random: () => number },
): string[] {
  const alive = view.alive(now.nowMs);
  const zone = view.ownReport.availabilityZone;
  const inOwnZone = alive.filter((report) => report.availabilityZone === zone);
  const inOtherZones = alive.filter((report) =>
    report.availabilityZone !== zone
  );
  const recipients = [
    ...sampleWithoutReplacement(inOwnZone, { count: OWN_ZONE_FANOUT, ...now }),
    ...sampleWithoutReplacement(inOtherZones, {
      count: OTHER_ZONE_FANOUT,
      ...now,
    }),
  ].map(({ address }) => address);
  const aliveAddresses = new Set(alive.map(({ address }) => address));
  const unresponsive = view.knownAddresses.filter((address) =>
    !aliveAddresses.has(address)
  );
  // Occasional messages to unresponsive daemons let one that restarted or was partitioned find the others again.
  const probes = alive.length === 0 || now.random() < PROBE_PROBABILITY
    ? sampleWithoutReplacement(unresponsive, {
      count: alive.length === 0 ? BOOTSTRAP_FANOUT : 1,
      ...now,
    })
    : [];
  return [...recipients, ...probes];
}

/**
 * Whether a datagram to a recipient contains the reports of other daemons. Datagrams to daemons of other zones do so in
 * some rounds only, because traffic between zones is charged by the byte.
 */
export function includesOtherReports(
  view: MemberView,
  recipient: string,
  now: { nowMs: number; random: () => number },
): boolean {
  const zone = view.ownReport.availabilityZone;
  if (!isInOtherZone(view, recipient)) {
    return true;
  }
  const zoneSize = 1 + view.alive(now.nowMs)
    .filter((report) => report.availabilityZone === zone).length;
  return now.random() * zoneSize < REPORT_DATAGRAMS_PER_ZONE;
}

/** Whether a daemon is known to be in another availability zone. */
export function isInOtherZone(view: MemberView, address: string): boolean {
  const report = view.find(address);
  return report !== undefined &&
    report.availabilityZone !== view.ownReport.availabilityZone;
}
