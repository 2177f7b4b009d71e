/**
 * Failure detection by gossip: determines which daemons are alive from status reports that daemons exchange and
 * forward. No I/O; time and randomness are parameters.
 *
 * @module
 */
export {
  MAX_WAIT_MS,
  MemberPhase,
  MemberReport,
  StatedStatus,
} from "./member.ts";
export {
  decodeGossip,
  encodeGossip,
  type GossipMessage,
} from "./gossip_codec.ts";
export type { HeartbeatDigest } from "./heartbeat_digest.ts";
export { DatagramPacer, type OutgoingDatagram } from "./datagram_pacer.ts";
export { MemberView } from "./member_view.ts";
export {
  chooseGossipTargets,
  includesOtherReports,
  isInOtherZone,
} from "./gossip_targets.ts";
export { RepeatSchedule } from "./repeat_schedule.ts";
export { sampleWithoutReplacement } from "./sample_without_replacement.ts";
export { type FollowerCandidate, WatchFollowers } from "./watch_followers.ts";
export { WatchPollCoordinator } from "./watch_poll_coordinator.ts";
export { WatchPollSchedule } from "./watch_poll_schedule.ts";
