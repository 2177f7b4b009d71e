/**
 * The connections to the backend server on this host.
 *
 * @module
 */
import type { Announcement } from "@bamboolink/types";
import { Pool } from "undici";
import { CONNECT_TIMEOUT_MS } from "./connection_errors.ts";

/** An announcement that was not repeated for so long no longer counts, in milliseconds. */
export const ANNOUNCEMENT_TTL_MS = 1_800;

/** What is known of the backend server, and the way to it. */
export class BackendConnection {
  private latest: Announcement | undefined;
  private announcedAtMs = -Infinity;
  private pool: Pool | undefined;

  private constructor() {}

  /** Creates one that knows of no backend server. */
  static create(): BackendConnection {
    return new BackendConnection();
  }

  /** What the backend server announced last. */
  get announcement(): Announcement | undefined {
    return this.latest;
  }

  /** Connections to the backend server; `undefined` before it announced itself. */
  get connections(): Pool | undefined {
    return this.pool;
  }

  /**
   * Finds what an announcement may not change while the daemon runs.
   *
   * What goes wrong otherwise: a server of another service, or one that stopped checking its grants, is
   * handed keys under a session whose record says something else, and a takeover waits too short.
   */
  findConflicts(announcement: Announcement): string[] {
    const known = this.latest;
    const fixed = ["service", "checks_fencing"] as const;
    return known === undefined ? [] : fixed
      .filter((name) => known[name] !== announcement[name])
      .map((name) =>
        `${name}: expected ${
          known[name]
        }; it can't change while the daemon runs`
      );
  }

  /** Stops handing requests over, because another server has taken the place of the known one. */
  disconnect(): void {
    this.announcedAtMs = -Infinity;
    void this.pool?.close();
    this.pool = undefined;
  }

  /** Notes an announcement; returns whether anything in it is new. */
  recordAnnouncement(announcement: Announcement, nowMs: number): boolean {
    const before = this.latest;
    this.announcedAtMs = nowMs;
    this.latest = announcement;
    const moved = before?.port !== announcement.port ||
      before.slots !== announcement.slots;
    if (moved || this.pool === undefined) {
      void this.pool?.close();
      this.pool = createPool(announcement);
    }
    return JSON.stringify(before) !== JSON.stringify(announcement);
  }

  /** Whether the backend server is there and wants work. */
  isReady(nowMs: number): boolean {
    return this.latest?.state === "ready" && !this.isAnnouncementOverdue(nowMs);
  }

  /** Whether a backend server announced itself once and has not repeated it in time. */
  isAnnouncementOverdue(nowMs: number): boolean {
    return this.latest !== undefined &&
      nowMs - this.announcedAtMs > ANNOUNCEMENT_TTL_MS;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.pool?.destroy();
  }
}

function createPool(announcement: Announcement): Pool {
  return new Pool(`http://127.0.0.1:${announcement.port}`, {
    connections: Math.min(announcement.slots, announcement.connections),
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
