/**
 * Tells the planner how this daemon is, and which sessions fell silent.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Logger } from "@bamboolink/logger";
import { type ReportRequest, ReportRequestSchema } from "@bamboolink/protocol";
import { Background } from "./background.ts";
import type { Fleet } from "./fleet.ts";
import type { LocalSession } from "./local_session.ts";
import type { PeerClients } from "./peer_clients.ts";

/** How often a report is sent when nothing changes, in milliseconds. */
const REPORT_EVERY_MS = 5_000;
/** The pause before a report is repeated that did not arrive, in milliseconds. */
const REPEAT_MS = 250;
/** How long after its last promise ran out a session is called silent, in milliseconds. */
const SILENT_MS = 100;
/** How often silent sessions are reported, in milliseconds. */
const SUSPECT_EVERY_MS = 200;

/** How the daemon is, beside what the fleet's records say. */
export interface RequestCounts {
  readonly running: number;
  readonly waiting: number;
}

/** Reports of one daemon. */
export class Reporter {
  private readonly reporting: Background;
  private readonly suspecting: Background;
  private nextReportMs = 0;
  private nextSuspectMs = 0;
  private lastReported = "";

  private constructor(
    private readonly context: {
      fleet: Fleet;
      clients: PeerClients;
      logger: Logger;
      requestCounts: () => RequestCounts;
    },
  ) {
    this.reporting = Background.create(context.logger, "reporter.report");
    this.suspecting = Background.create(context.logger, "reporter.suspect");
  }

  /** Creates a reporter. */
  static create(context: Reporter["context"]): Reporter {
    return new Reporter(context);
  }

  /** One step of the control loop. */
  tick(nowMs: number, session: LocalSession | undefined): void {
    if (session === undefined) {
      return;
    }
    this.reportSilent(nowMs, session);
    const planner = this.context.fleet.state.planner?.record.session;
    const serving = session.state === "serving";
    const version = this.context.fleet.configuration?.version.version ?? 0;
    const summary = `${planner} ${session.id} ${serving} ${version}`;
    if (
      planner === undefined ||
      (summary === this.lastReported && nowMs < this.nextReportMs)
    ) {
      return;
    }
    if (nowMs < this.nextReportMs - REPORT_EVERY_MS + REPEAT_MS) {
      return;
    }
    this.nextReportMs = nowMs + REPORT_EVERY_MS;
    this.reporting.start(async () => {
      const reported = await this.report(
        planner,
        this.makeReport(session, version),
      );
      this.lastReported = reported ? summary : "";
    });
  }

  private makeReport(session: LocalSession, version: number): ReportRequest {
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

  /** Given up for a handover that its planner did not finish; the next planner finishes it. */
  private releasedAssignments(session: LocalSession) {
    return this.context.fleet.state.shards.flatMap(({ record }) => {
      const own = record.sessions.indexOf(session.id);
      return own < 0 ? [] : record.owners.flatMap((owner, index) => {
        const id = {
          service: record.service,
          partition: record.first + index,
          token: record.tokens[index] ?? 0,
        };
        return owner === own && session.releases.isReleased(id)
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
    const answer = await this.context.clients.call(address, {
      step: "reporter.report",
      send: (client, options) => client.report(report, options),
    });
    return answer.isOk() && answer.value.isPlanner;
  }

  private reportSilent(nowMs: number, session: LocalSession): void {
    session.ledger.noteStep(nowMs);
    if (nowMs < this.nextSuspectMs) {
      return;
    }
    this.nextSuspectMs = nowMs + SUSPECT_EVERY_MS;
    const { fleet } = this.context;
    const silent = session.ledger.findSilent(nowMs, SILENT_MS)
      .map((entry) => entry.session)
      .filter((id) =>
        fleet.session(id)?.state === "open" &&
        fleet.session(id)?.witnesses.includes(session.id)
      );
    if (silent.length > 0) {
      this.suspecting.start(() => this.suspect(session.id, silent));
    }
  }

  /** Tells the planner, and whoever may have to replace it. */
  private async suspect(witness: string, sessions: string[]): Promise<void> {
    const { fleet, clients } = this.context;
    const candidates = fleet.watchers.map((session) => session.id);
    const planner = fleet.state.planner?.record.session;
    const receivers = planner !== undefined && !sessions.includes(planner)
      ? [planner]
      : candidates;
    const addresses = receivers.flatMap((id) =>
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
