/**
 * Counts the bytes that this daemon exchanges with daemons of other availability zones, without transport headers.
 *
 * Datagrams are counted by their sender. Links and records are counted by the daemon that sends the request, in both
 * directions, because the other side doesn't know its zone. So each byte is counted once in the fleet.
 *
 * @module
 */
import { isInOtherZone, type MemberView } from "@bamboolink/membership";
import type { DatagramKind } from "./gossip_node.ts";

/**
 * What is transferred: requests and responses over links, ownership records that were fetched, or datagrams by kind.
 */
export type TrafficKind = "request" | "response" | "records" | DatagramKind;

/** Bytes between zones, by kind. */
export class CrossZoneTraffic {
  private readonly totals = new Map<TrafficKind, number>();

  private constructor(private readonly view: MemberView) {}

  /** Creates an instance that has counted nothing. */
  static create(view: MemberView): CrossZoneTraffic {
    return new CrossZoneTraffic(view);
  }

  /** Counts bytes that are sent to or received from a daemon; those of the own zone, or of an unknown one, are ignored. */
  record(daemon: string, kind: TrafficKind, bytes: number): void {
    if (isInOtherZone(this.view, daemon)) {
      this.totals.set(kind, (this.totals.get(kind) ?? 0) + bytes);
    }
  }

  /** The bytes since the start, by kind. */
  get bytesByKind(): ReadonlyMap<TrafficKind, number> {
    return this.totals;
  }
}
