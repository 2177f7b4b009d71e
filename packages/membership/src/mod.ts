/**
 * Decides which daemons are alive, from what they say of themselves and of each other. Pure: time and
 * randomness come in, decisions go out.
 *
 * @module
 */
export { MemberPhase, MemberReport } from "./member.ts";
export {
  decodeGossip,
  encodeGossip,
  type GossipMessage,
} from "./gossip_codec.ts";
export type { HeartbeatDigest } from "./heartbeat_digest.ts";
export { MemberView } from "./member_view.ts";
export { chooseGossipTargets } from "./gossip_targets.ts";
export { sampleWithoutReplacement } from "./sample_without_replacement.ts";
export { WatchPollSchedule } from "./watch_poll_schedule.ts";
