/**
 * The messages between daemons, generated from `proto/peer.proto`, and their conversion to the types
 * of other packages.
 *
 * @module
 */
export * from "./gen/peer_pb.ts";
export { fromWireDelta, toWireDelta, type WireDelta } from "./wire_delta.ts";
