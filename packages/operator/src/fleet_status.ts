/**
 * How the fleet is, as its planner knows it.
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

/** How long the planner may take to answer, in milliseconds. */
const TIMEOUT_MS = 2_000;

/** One daemon as the planner knows it. */
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
  /** How long ago it reported, in milliseconds; `null` where it has not. */
  readonly reportAgeMs: number | null;
  readonly isPlanner: boolean;
}

/** Asks the planner and puts its answer beside the records of the store. */
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
      timeoutMs: TIMEOUT_MS,
    });
    const reports = new Map(
      status.daemons.map((daemon) => [daemon.report?.session ?? "", daemon]),
    );
    const open = [...fleet.sessions.values()].map(({ record }) => record)
      .filter(({ state }) => state !== "ended");
    return ok(
      open.map((session) =>
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
        "the planner did not answer",
        details,
      ),
    );
  } finally {
    sessionManager.abort();
  }
}

type Reported = FleetStatusResponse["daemons"][number];

function describeDaemon(
  session: SessionRecord,
  context: {
    fleet: FleetState;
    report: Reported | undefined;
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
      const own = record.sessions.indexOf(session);
      return own < 0
        ? 0
        : record.owners.filter((owner) => owner === own).length;
    })
    .reduce((sum, count) => sum + count, 0);
}
