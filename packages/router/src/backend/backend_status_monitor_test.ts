/**
 * Tests of what is kept of the status that a backend server states in its responses.
 *
 * @module
 */
import type { Incarnation } from "@bamboolink/keyspace";
import type { Logger } from "@bamboolink/logger";
import { expect } from "chai";
import { BackendStatusMonitor } from "./backend_status_monitor.ts";
import type {
  BackendStatus,
  RateLimitHeader,
} from "../ports/backend_protocol.ts";

const FIRST = { instance: "i-1", born: 1_000 };
const RESTARTED = { instance: "i-1", born: 2_000 };

function createMonitor() {
  const entries: { event: string; fields: Record<string, unknown> }[] = [];
  const leaving: { incarnation: Incarnation; isRecent: boolean }[] = [];
  const logger = {
    log: (event: string, fields: Record<string, unknown>) =>
      entries.push({ event, fields }),
  } as unknown as Logger;
  const monitor = BackendStatusMonitor.create({
    logger,
    onLeaving: (incarnation, { isRecent }) =>
      leaving.push({ incarnation, isRecent }),
  });
  monitor.setIncarnation(FIRST);
  const record = (
    status: Partial<BackendStatus>,
    from: { incarnation?: Incarnation; sentAtMs?: number } = {},
  ) =>
    monitor.record({
      rateLimit: { kind: "absent" },
      load: { kind: "absent" },
      isLeaving: false,
      ...status,
    }, {
      requestId: "r-1",
      incarnation: from.incarnation ?? FIRST,
      sentAtMs: from.sentAtMs ?? 0,
      receivedAtMs: (from.sentAtMs ?? 0) + 10,
    });
  return { monitor, record, entries, leaving };
}

const stated = (perSecond: number): RateLimitHeader => ({
  kind: "stated",
  perSecond,
});

describe("BackendStatusMonitor", () => {
  describe("when a limit becomes known, changes and ends", () => {
    it("logs each change once, with the request that stated it", () => {
      const { monitor, record, entries } = createMonitor();
      record({ rateLimit: stated(10) });
      record({ rateLimit: stated(10) }, { sentAtMs: 20 });
      record({ rateLimit: stated(25.1) }, { sentAtMs: 40 });
      expect(monitor.limitPerSecond).to.equal(25.1);
      record({}, { sentAtMs: 60 });
      expect(monitor.limitPerSecond).to.equal(undefined);
      const changes = entries.map(({ fields }) => [
        fields["before"],
        fields["limit"],
        fields["request_id"],
      ]);
      expect(changes).to.deep.equal([
        [undefined, 10, "r-1"],
        [10, 25.1, "r-1"],
        [25.1, undefined, "r-1"],
      ]);
    });
  });

  describe("when a limit can't be read", () => {
    it("keeps the earlier one, and logs the value", () => {
      const { monitor, record, entries } = createMonitor();
      record({ rateLimit: stated(10) });
      const rateLimit = { kind: "unreadable", text: "10, 12" } as const;
      record({ rateLimit }, { sentAtMs: 20 });
      expect(monitor.limitPerSecond).to.equal(10);
      expect(entries.at(-1)!.event).to.equal("backend_limit_unreadable");
      expect(entries.at(-1)!.fields).to.deep.include({
        value: "10, 12",
        in_force: 10,
      });
    });
  });

  describe("when the server states its load", () => {
    const slow = {
      kind: "stated",
      running: 6,
      waiting: 2,
      slots: 6,
      slowness: 3,
    } as const;

    it("follows the slowness, and forgets it when the server has restarted", () => {
      const { monitor, record } = createMonitor();
      record({ load: slow }, { sentAtMs: 0 });
      expect(monitor.load.factor(10)).to.equal(3);
      monitor.setIncarnation(RESTARTED);
      expect(monitor.load.factor(10)).to.equal(1);
    });

    // Guards against a log that is filled by a server whose every response has a header that can't be read.
    it("keeps the earlier load if one can't be read, and logs the first of several", () => {
      const { monitor, record, entries } = createMonitor();
      const unreadable = { kind: "unreadable", text: "x".repeat(500) } as const;
      record({ load: slow }, { sentAtMs: 0 });
      record({ load: unreadable }, { sentAtMs: 20 });
      record({ load: unreadable }, { sentAtMs: 40 });
      expect(monitor.load.stated(50)).to.deep.equal({ slowness: 3, ageMs: 40 });
      expect(entries.map(({ event }) => event))
        .to.deep.equal(["backend_load_unreadable"]);
      expect(String(entries[0]!.fields["value"])).to.have.length(100);
      record({ load: slow }, { sentAtMs: 60 });
      record({ load: unreadable }, { sentAtMs: 80 });
      expect(entries).to.have.length(2);
    });
  });

  describe("when the server has restarted", () => {
    // Guards against a new process that is limited, or drained, because of what the earlier one stated.
    it("forgets what the earlier process stated, and ignores its late responses", () => {
      const { monitor, record, leaving } = createMonitor();
      record({ rateLimit: stated(10) });
      monitor.setIncarnation(RESTARTED);
      expect(monitor.limitPerSecond).to.equal(undefined);
      record({ rateLimit: stated(5), isLeaving: true });
      expect(monitor.limitPerSecond).to.equal(undefined);
      expect(leaving).to.deep.equal([]);
    });
  });

  describe("when other daemons return what was stated to an earlier process", () => {
    const status = {
      ...FIRST,
      isLeaving: true,
      limitPerSecond: 10,
    };

    // Guards against a restarted daemon that fills all slots of a limited or leaving server until it responds.
    ["before", "after"].forEach((order) =>
      it(`applies it to the same incarnation, ${order} its first heartbeat`, () => {
        const { monitor, entries } = createMonitor();
        if (order === "before") {
          monitor.setIncarnation(RESTARTED);
          monitor.restore(status);
          expect(monitor.limitPerSecond).to.equal(undefined);
          monitor.setIncarnation(FIRST);
        } else {
          monitor.restore(status);
        }
        expect(monitor.limitPerSecond).to.equal(10);
        expect(monitor.hasStatedLeaving(FIRST)).to.equal(true);
        expect(monitor.statedStatus).to.deep.equal(status);
        expect(entries.map(({ event }) => event))
          .to.deep.equal(["backend_status_restored"]);
      })
    );

    it("ignores what another incarnation stated", () => {
      const { monitor } = createMonitor();
      monitor.restore({ ...status, ...RESTARTED });
      expect(monitor.limitPerSecond).to.equal(undefined);
      expect(monitor.hasStatedLeaving(FIRST)).to.equal(false);
      expect(monitor.statedStatus).to.equal(null);
    });

    it("keeps the leaving and the strictest limit of several reports, in any order", () => {
      const reports = [status, {
        ...FIRST,
        isLeaving: false,
        limitPerSecond: 5,
      }, { ...FIRST, isLeaving: false, limitPerSecond: null }];
      [reports, reports.toReversed()].forEach((ordered) => {
        const { monitor } = createMonitor();
        ordered.forEach((report) => monitor.restore(report));
        expect(monitor.statedStatus)
          .to.deep.equal({ ...status, limitPerSecond: 5 });
      });
    });

    // Guards against a limit that has ended and stays in force because of an old report.
    it("follows the limit of the first response instead", () => {
      const { monitor, record } = createMonitor();
      monitor.restore(status);
      record({});
      expect(monitor.limitPerSecond).to.equal(undefined);
      monitor.restore(status);
      expect(monitor.limitPerSecond).to.equal(undefined);
    });
  });

  describe("what it reports to other daemons", () => {
    it("is the status of the current incarnation, and null without one", () => {
      const { monitor, record } = createMonitor();
      expect(monitor.statedStatus).to.equal(null);
      record({ rateLimit: stated(10) });
      expect(monitor.statedStatus).to.deep.equal({
        ...FIRST,
        isLeaving: false,
        limitPerSecond: 10,
      });
      monitor.setIncarnation(RESTARTED);
      expect(monitor.statedStatus).to.equal(null);
    });

    // Guards against a server that is drained because an earlier process with the same id was leaving.
    it("is null if the server does not report its start", () => {
      const { monitor, record } = createMonitor();
      const incarnation = { instance: "i-1", born: undefined };
      monitor.setIncarnation(incarnation);
      record({ isLeaving: true }, { incarnation });
      expect(monitor.statedStatus).to.equal(null);
    });
  });

  describe("when the server is leaving", () => {
    it("reports it once for each process", () => {
      const { monitor, record, leaving } = createMonitor();
      record({});
      record({ isLeaving: true });
      record({ isLeaving: true });
      monitor.setIncarnation(RESTARTED);
      record({ isLeaving: true }, { incarnation: RESTARTED });
      expect(leaving.map(({ incarnation }) => incarnation))
        .to.deep.equal([FIRST, RESTARTED]);
    });

    it("reports that it may have been leaving for long if its first known response states it", () => {
      const { record, leaving } = createMonitor();
      record({ isLeaving: true });
      expect(leaving).to.deep.equal([{ incarnation: FIRST, isRecent: false }]);
    });
  });
});
