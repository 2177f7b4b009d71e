/**
 * Decides which daemons are alive, from what they say of themselves and of each other. Pure: time and
 * randomness come in, decisions go out.
 *
 * @module
 */
export { MemberPhase, MemberReport } from "./member.js";
export { decodeGossip, encodeGossip } from "./gossip_codec.js";
export { MemberView } from "./member_view.js";
export { chooseGossipTargets } from "./gossip_targets.js";
//# sourceMappingURL=mod.js.map
