/**
 * Decides whom to tell next.
 *
 * @module
 */
import type { MemberView } from "./member_view.ts";
import { pickSome } from "./pick_some.ts";

/** Daemons told in one round. News reaches n daemons in about log(n) / log(4) rounds. */
const FANOUT = 3;
/** Share of the datagrams that go to daemons which are silent or were never heard. */
const PROBE_SHARE = 0.2;

/** Chooses the addresses of one round of gossip. */
export function chooseGossipTargets(
  view: MemberView,
  now: { nowMs: number; random: () => number },
): string[] {
  const alive = view.alive(now.nowMs).map(({ address }) => address);
  const silent = view.known.filter((address) => !alive.includes(address));
  const told = pickSome(alive, { count: FANOUT, random: now.random });
  // Silent daemons are told now and then: one that came back, or was cut off, finds the others again.
  const probes = alive.length === 0 || now.random() < PROBE_SHARE
    ? pickSome(silent, { count: alive.length === 0 ? FANOUT : 1, ...now })
    : [];
  return [...told, ...probes];
}
