/**
 * Decides whom to tell next.
 *
 * @module
 */
import type { MemberView } from "./member_view.ts";
import { sampleWithoutReplacement } from "./sample_without_replacement.ts";

/** Daemons of the own availability zone told in one round. */
const NEAR_FANOUT = 2;
/**
 * Daemons of other availability zones told in one round. Bytes to them are paid for, and one is enough:
 * what it hears it tells its own zone.
 */
const FAR_FANOUT = 1;
/** Daemons told in one round while none is known to be alive. */
const FIRST_FANOUT = 3;
/** Share of the datagrams that go to daemons which are silent or were never heard. */
const PROBE_SHARE = 0.2;

/** Chooses the addresses of one round of gossip. */
export function chooseGossipTargets(
  view: MemberView,
  now: { nowMs: number; random: () => number },
): string[] {
  const alive = view.alive(now.nowMs);
  const zone = view.ownReport.availabilityZone;
  const near = alive.filter((report) => report.availabilityZone === zone);
  const far = alive.filter((report) => report.availabilityZone !== zone);
  const told = [
    ...sampleWithoutReplacement(near, { count: NEAR_FANOUT, ...now }),
    ...sampleWithoutReplacement(far, { count: FAR_FANOUT, ...now }),
  ].map(({ address }) => address);
  const living = new Set(alive.map(({ address }) => address));
  const silent = view.knownAddresses.filter((address) => !living.has(address));
  // Silent daemons are told now and then: one that came back, or was cut off, finds the others again.
  const probes = alive.length === 0 || now.random() < PROBE_SHARE
    ? sampleWithoutReplacement(silent, {
      count: alive.length === 0 ? FIRST_FANOUT : 1,
      ...now,
    })
    : [];
  return [...told, ...probes];
}
