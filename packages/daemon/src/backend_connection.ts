/**
 * The backend server on this host: its latest announcement and the connections to it.
 *
 * @module
 */
import type { Announcement } from "@bamboolink/types";
import { Pool } from "undici";
import { CONNECT_TIMEOUT_MS } from "./connection_errors.ts";

/** An announcement expires after this time unless the backend server repeats it. */
export const ANNOUNCEMENT_TTL_MS = 1_800;

/** The backend server's latest announcement and the connection pool for it. */
export class BackendConnection {
  private latest: Announcement | undefined;
  private announcedAtMs = -Infinity;
  private pool: Pool | undefined;

  private constructor() {}

  /** Creates a connection without a backend server; it gets one with the first announcement. */
  static create(): BackendConnection {
    return new BackendConnection();
  }

  /** The backend server's latest announcement; `undefined` before the first. */
  get announcement(): Announcement | undefined {
    return this.latest;
  }

  /** Connection pool of the backend server; `undefined` before its first announcement and after `disconnect`. */
  get connections(): Pool | undefined {
    return this.pool;
  }

  /**
   * Returns a message for each field of an announcement that differs from the latest one and must not change while the
   * daemon runs.
   *
   * Without this check, a server of another service, or one that stopped checking its grants, would be assigned keys
   * under a session whose record states otherwise, and a takeover would wait too short a time.
   */
  findConflicts(announcement: Announcement): string[] {
    const latest = this.latest;
    const fixed = ["service", "checks_fencing"] as const;
    return latest === undefined ? [] : fixed
      .filter((name) => latest[name] !== announcement[name])
      .map((name) =>
        `${name}: expected ${
          latest[name]
        }; it can't change while the daemon runs`
      );
  }

  /** Stops sending requests, because a different server has replaced the one that announced itself before. */
  disconnect(): void {
    this.announcedAtMs = -Infinity;
    void this.pool?.close();
    this.pool = undefined;
  }

  /** Records an announcement, and opens a new pool if its port or slots changed. Returns whether any field changed. */
  recordAnnouncement(announcement: Announcement, nowMs: number): boolean {
    const previous = this.latest;
    this.announcedAtMs = nowMs;
    this.latest = announcement;
    const poolChanged = previous?.port !== announcement.port ||
      previous.slots !== announcement.slots;
    if (poolChanged || this.pool === undefined) {
      void this.pool?.close();
      this.pool = createPool(announcement);
    }
    return JSON.stringify(previous) !== JSON.stringify(announcement);
  }

  /** Whether the backend server announces that it accepts requests, and its announcement has not expired. */
  isReady(nowMs: number): boolean {
    return this.latest?.state === "ready" && !this.isAnnouncementOverdue(nowMs);
  }

  /** Whether a backend server has announced itself, but its announcement has expired. */
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
