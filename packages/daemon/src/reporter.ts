/**
 * Reports this daemon's status, and sessions that became unresponsive, to the planner.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Logger } from "@bamboolink/logger";
import { type ReportRequest, ReportRequestSchema } from "@bamboolink/protocol";
import { BackgroundTask } from "./background_task.ts";
import type { Fleet } from "./fleet.ts";
import type { LocalSession } from "./local_session.ts";
import type { PeerClients } from "./peer_clients.ts";

/** Time between two reports while nothing changes, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;
/** Delay before a failed report is retried, in milliseconds. */
const REPORT_RETRY_DELAY_MS = 250;
/** Time after the expiry of its last promise at which a session counts as unresponsive, in milliseconds. */
const UNRESPONSIVE_DELAY_MS = 100;
/** Time between two reports of unresponsive sessions, in milliseconds. */
const SUSPECT_INTERVAL_MS = 200;

/** Numbers of running and queued requests of the daemon. */
export interface RequestCounts {
  readonly running: number;
  readonly waiting: number;
}

/** Sends the reports of one daemon. */
export class Reporter {
  private readonly reportTask: BackgroundTask;
  private readonly suspectTask: BackgroundTask;
  private nextReportAtMs = 0;
  private nextSuspectAtMs = 0;
  private lastReportedSummary = "";

  private constructor(
    private readonly context: {
      fleet: Fleet;
      clients: PeerClients;
      logger: Logger;
      requestCounts: () => RequestCounts;
    },
  ) {
    this.reportTask = BackgroundTask.create(context.logger, "reporter.report");
    this.suspectTask = BackgroundTask.create(
      context.logger,
      "reporter.suspect",
    );
  }

  /** Creates a reporter. */
  static create(context: Reporter["context"]): Reporter {
    return new Reporter(context);
  }

  /**
   * Runs one step of the control loop.
   *
   * @param nowMs current time on the monotonic clock, in milliseconds.
   * @param session this daemon's current session, if any.
   */
  tick(nowMs: number, session: LocalSession | undefined): void {
    if (session === undefined) {
      return;
    }
    this.reportUnresponsive(nowMs, session);
    const planner = this.context.fleet.state.planner?.record.session;
    const serving = session.state === "serving";
    const version = this.context.fleet.configuration?.version.version ?? 0;
    const summary = `${planner} ${session.id} ${serving} ${version}`;
    if (
      planner === undefined ||
      (summary === this.lastReportedSummary && nowMs < this.nextReportAtMs)
    ) {
      return;
    }
    if (
      nowMs < this.nextReportAtMs - REPORT_INTERVAL_MS + REPORT_RETRY_DELAY_MS
    ) {
      return;
    }
    this.nextReportAtMs = nowMs + REPORT_INTERVAL_MS;
    this.reportTask.start(async () => {
      const reported = await this.report(
        planner,
        this.createReport(session, version),
      );
      this.lastReportedSummary = reported ? summary : "";
    });
  }

  private createReport(session: LocalSession, version: number): ReportRequest {
    const { running, waiting } = this.context.requestCounts();
    return create(ReportRequestSchema, {
      session: session.id,
      configurationVersion: BigInt(version),
      revision: BigInt(this.context.fleet.revision),
      serving: session.state === "serving",
      running,
      waiting,
      released: this.releasedAssignments(session),
    });
  }

  /** Assignments released for handovers that their planner did not complete; the next planner completes them. */
  private releasedAssignments(session: LocalSession) {
    return this.context.fleet.state.shards.flatMap(({ record }) => {
      const ownIndex = record.sessions.indexOf(session.id);
      return ownIndex < 0 ? [] : record.owners.flatMap((owner, index) => {
        const id = {
          service: record.service,
          partition: record.first + index,
          token: record.tokens[index] ?? 0,
        };
        return owner === ownIndex && session.releases.isReleased(id)
          ? [{ ...id, token: BigInt(id.token) }]
          : [];
      });
    });
  }

  private async report(
    planner: string,
    report: ReportRequest,
  ): Promise<boolean> {
    const address = this.context.fleet.session(planner)?.control_address;
    if (address === undefined) {
      return false;
    }
    const response = await this.context.clients.call(address, {
      step: "reporter.report",
      send: (client, options) => client.report(report, options),
    });
    return response.isOk() && response.value.isPlanner;
  }

  private reportUnresponsive(nowMs: number, session: LocalSession): void {
    session.ledger.recordStep(nowMs);
    if (nowMs < this.nextSuspectAtMs) {
      return;
    }
    this.nextSuspectAtMs = nowMs + SUSPECT_INTERVAL_MS;
    const { fleet } = this.context;
    const unresponsive = session.ledger.findUnresponsive(
      nowMs,
      UNRESPONSIVE_DELAY_MS,
    )
      .map((entry) => entry.session)
      .filter((id) =>
        fleet.session(id)?.state === "open" &&
        fleet.session(id)?.witnesses.includes(session.id)
      );
    if (unresponsive.length > 0) {
      this.suspectTask.start(() => this.suspect(session.id, unresponsive));
    }
  }

  /** Reports suspected sessions to the planner, or to all its candidates if it is unknown or itself suspected. */
  private async suspect(witness: string, sessions: string[]): Promise<void> {
    const { fleet, clients } = this.context;
    const candidates = fleet.watchers.map((session) => session.id);
    const planner = fleet.state.planner?.record.session;
    const recipients = planner !== undefined && !sessions.includes(planner)
      ? [planner]
      : candidates;
    const addresses = recipients.flatMap((id) =>
      fleet.session(id)?.control_address ?? []
    );
    await Promise.all(addresses.map((address) =>
      clients.call(address, {
        step: "reporter.suspect",
        send: (client, options) =>
          client.suspect({ witness, sessions }, options),
      })
    ));
  }
}
