/**
 * Decides whom to tell next.
 *
 * @module
 */
import type { MemberView } from "./member_view.ts";
/** Chooses the addresses of one round of gossip. */
export declare function chooseGossipTargets(view: MemberView, now: {
  nowMs: number;
  random: () => number;
}): string[];
