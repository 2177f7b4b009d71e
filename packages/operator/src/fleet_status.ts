/**
 * Reads the status of the fleet from its planner.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { type FleetStatusResponse, Peer } from "@bamboolink/protocol";
import type { SessionRecord } from "@bamboolink/types";
import type { FleetState } from "@bamboolink/view";
import { createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { err, ok, type Result } from "neverthrow";

/** Maximum time to wait for the planner's response, in milliseconds. */
const PLANNER_TIMEOUT_MS = 2_000;

/** Status of one daemon, from the store's records and the daemon's last report to the planner. */
export interface DaemonStatus {
  readonly host: string;
  readonly availabilityZone: string;
  readonly service: string;
  readonly session: string;
  readonly state: string;
  readonly partitions: number;
  readonly configurationVersion: number;
  readonly running: number;
  readonly waiting: number;
  /** Age of the last report, in milliseconds; `null` if there is none. */
  readonly reportAgeMs: number | null;
  readonly isPlanner: boolean;
}

/**
 * Requests the reports of all daemons from the planner and combines them with the records of the store.
 *
 * @returns the status of each session that has not ended; `not_found` if no planner is elected, `unreachable` if
 *   it did not respond.
 */
export async function readFleetStatus(
  fleet: FleetState,
): Promise<Result<DaemonStatus[], BamboolinkError>> {
  const planner = fleet.sessions.get(fleet.planner?.record.session ?? "")
    ?.record;
  if (planner === undefined) {
    const message = "no planner is elected at the moment";
    return err(
      BamboolinkError.create("not_found", message, {
        step: "operator.fleet_status",
      }),
    );
  }
  const baseUrl = `http://${planner.control_address}`;
  const sessionManager = new Http2SessionManager(baseUrl);
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: "2",
    sessionManager,
  });
  try {
    const status = await createClient(Peer, transport).fleetStatus({}, {
      timeoutMs: PLANNER_TIMEOUT_MS,
    });
    const reports = new Map(
      status.daemons.map((daemon) => [daemon.report?.session ?? "", daemon]),
    );
    const sessions = [...fleet.sessions.values()].map(({ record }) => record)
      .filter(({ state }) => state !== "ended");
    return ok(
      sessions.map((session) =>
        describeDaemon(session, {
          fleet,
          report: reports.get(session.id),
          planner,
        })
      ),
    );
  } catch (cause) {
    const details = {
      step: "operator.fleet_status",
      peer: planner.control_address,
      cause,
    };
    return err(
      BamboolinkError.create(
        "unreachable",
        "the planner did not respond",
        details,
      ),
    );
  } finally {
    sessionManager.abort();
  }
}

type DaemonReport = FleetStatusResponse["daemons"][number];

function describeDaemon(
  session: SessionRecord,
  context: {
    fleet: FleetState;
    report: DaemonReport | undefined;
    planner: SessionRecord;
  },
): DaemonStatus {
  const { report, ageMs } = context.report ?? {};
  return {
    host: session.host,
    availabilityZone: session.availability_zone,
    service: session.service,
    session: session.id,
    state: describeState(session, report?.serving === true),
    partitions: countPartitions(session.id, context.fleet),
    configurationVersion: Number(report?.configurationVersion ?? 0n),
    running: report?.running ?? 0,
    waiting: report?.waiting ?? 0,
    reportAgeMs: ageMs ?? null,
    isPlanner: session.id === context.planner.id,
  };
}

function describeState(session: SessionRecord, serving: boolean): string {
  if (session.state !== "open") {
    return session.state;
  }
  if (session.draining) {
    return "draining";
  }
  return serving ? "serving" : "suspended";
}

function countPartitions(session: string, fleet: FleetState): number {
  return fleet.shards
    .map(({ record }) => {
      const ownIndex = record.sessions.indexOf(session);
      return ownIndex < 0
        ? 0
        : record.owners.filter((owner) => owner === ownIndex).length;
    })
    .reduce((sum, count) => sum + count, 0);
}
