/**
 * `bamboolink status`, `owner`, `drain` and `declare-lost`.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { type Assignment, OwnershipTable } from "@bamboolink/routing";
import { type Store, writeAndVerify } from "@bamboolink/store";
import {
  drainKey,
  type DrainRecord,
  PARTITIONS_PER_SHARD,
  sessionKey,
  type SessionRecord,
} from "@bamboolink/types";
import type { FleetState, Versioned } from "@bamboolink/view";
import { Command, Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import { type DaemonStatus, readFleetStatus } from "./fleet_status.ts";
import {
  defaultAuthor,
  FleetCommand,
  type Output,
} from "./operator_command.ts";

/** `status` */
export class Status extends FleetCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category: "Fleet",
    description:
      "Show the daemons, what they own and the configuration in force.",
  });

  protected override async runOn(
    fleet: FleetState,
  ): Promise<Result<Output, BamboolinkError>> {
    const daemons = await readFleetStatus(fleet);
    const version = fleet.configuration?.record.current.version ?? 0;
    return daemons.map((list) => ({
      lines: [
        `configuration version ${version}, ${list.length} daemons`,
        ...formatDaemons(list),
      ],
      data: { configuration_version: version, daemons: list },
    }));
  }
}

function formatDaemons(daemons: readonly DaemonStatus[]): string[] {
  const rows = [
    [
      "HOST",
      "ZONE",
      "SERVICE",
      "STATE",
      "PARTITIONS",
      "CONFIG",
      "RUNNING",
      "QUEUED",
      "REPORTED",
      "",
    ],
    ...[...daemons].sort((left, right) => left.host < right.host ? -1 : 1).map((
      daemon,
    ) => [
      daemon.host,
      daemon.availabilityZone,
      daemon.service,
      daemon.state,
      String(daemon.partitions),
      String(daemon.configurationVersion),
      String(daemon.running),
      String(daemon.waiting),
      daemon.reportAgeMs === null
        ? "never"
        : `${(daemon.reportAgeMs / 1_000).toFixed(1)}s ago`,
      daemon.isPlanner ? "planner" : "",
    ]),
  ];
  const widths =
    rows[0]?.map((_, column) =>
      Math.max(...rows.map((row) => row[column]?.length ?? 0))
    ) ?? [];
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  );
}

/** `owner KEY` */
export class Owner extends FleetCommand {
  static override paths = [["owner"]];
  static override usage = Command.Usage({
    category: "Fleet",
    description:
      "Show the owner of a key, since when, by which assignment, and why.",
    examples: [[
      "Show the owner of part BC547",
      "bamboolink owner BC547 --service quote-desk",
    ]],
  });
  key = Option.String({ name: "KEY" });
  service = Option.String("--service", {
    description: "Only this service; by default all.",
  });

  protected override runOn(
    fleet: FleetState,
  ): Result<Output, BamboolinkError> {
    const services =
      (fleet.configuration?.record.current.document.services ?? [])
        .filter((service) =>
          this.service === undefined || service.name === this.service
        );
    if (services.length === 0) {
      const message = this.service === undefined
        ? "there is no configuration yet"
        : `there is no service '${this.service}'`;
      return err(
        BamboolinkError.create("not_found", message, {
          step: "operator.owner",
        }),
      );
    }
    const table = OwnershipTable.create(
      fleet.shards.map((shard) => shard.record),
    );
    const owners = services.map((service) =>
      describeOwner(table.find(this.key, service), {
        service: service.name,
        fleet,
      })
    );
    return ok({
      lines: owners.map((owner) => owner.line),
      data: owners.map((owner) => owner.data),
    });
  }
}

function describeOwner(
  assignment: Assignment | undefined,
  context: { service: string; fleet: FleetState },
): { line: string; data: unknown } {
  const { service, fleet } = context;
  if (assignment === undefined) {
    return { line: `${service}: no owner`, data: { service, owner: null } };
  }
  const { partition, token, session } = assignment;
  const first = Math.floor(partition / PARTITIONS_PER_SHARD) *
    PARTITIONS_PER_SHARD;
  const shard = fleet.shards.find(({ record }) =>
    record.service === service && record.first === first
  )?.record;
  const change = shard?.changes.find((entry) => entry.version === token);
  const record = fleet.sessions.get(session)?.record;
  const since = change === undefined
    ? "before the retained history"
    : new Date(change.at_ms).toISOString();
  const why = change?.reason ?? "not kept";
  const host = record?.host ?? session;
  return {
    line:
      `${service}: ${host} (${
        record?.data_address ?? "address unknown"
      }) since ${since}; ` +
      `partition ${partition}, fencing token ${token}, session ${session}; why: ${why}`,
    data: {
      service,
      host,
      address: record?.data_address,
      partition,
      token,
      session,
      since: change?.at_ms ?? null,
      why,
    },
  };
}

/** `drain HOST` */
export class Drain extends FleetCommand {
  static override paths = [["drain"]];
  static override usage = Command.Usage({
    category: "Fleet",
    description: "Drain all keys from a host, or allow it to own keys again.",
    examples: [["Drain a host before maintenance", "bamboolink drain a-1"], [
      "Allow it to own keys again",
      "bamboolink drain a-1 --undo",
    ]],
  });
  host = Option.String({ name: "HOST" });
  undo = Option.Boolean("--undo", false, {
    description: "Allow the host to own keys again.",
  });
  author = Option.String("--author", defaultAuthor(), {
    description: "Author to record with the request.",
  });

  protected override async runOn(
    fleet: FleetState,
    store: Store,
  ): Promise<Result<Output, BamboolinkError>> {
    const { drains } = fleet;
    const known = findSessions(fleet, this.host).length > 0 ||
      drains.has(this.host);
    if (!known) {
      return err(
        BamboolinkError.create("not_found", `there is no host '${this.host}'`, {
          step: "operator.drain",
        }),
      );
    }
    const record: DrainRecord = {
      host: this.host,
      author: this.author,
      requested_at_ms: Date.now(),
    };
    const expectedRevision = drains.get(this.host)?.revision ?? 0;
    const value = this.undo ? undefined : JSON.stringify(record);
    const isUnchanged = this.undo && expectedRevision === 0;
    const written = isUnchanged ? ok(0) : await writeAndVerify(store, {
      key: drainKey(this.host),
      value,
      expectedRevision,
    });
    const line = this.undo
      ? `${this.host} may own keys again`
      : `${this.host} is draining its keys; see \`bamboolink status\``;
    return written.map(() => ({
      lines: [line],
      data: { host: this.host, draining: !this.undo },
    }));
  }
}

/** `declare-lost HOST` */
export class DeclareLost extends FleetCommand {
  static override paths = [["declare-lost"]];
  static override usage = Command.Usage({
    category: "Fleet",
    description:
      "Confirm that a host is powered off and will not resume in its previous state.",
    details:
      "Needed only if a takeover waits for evidence that no remaining daemon can provide. If the host is still running, two owners may serve the same keys, and orders can be lost or duplicated.",
    examples: [[
      "After powering off the host",
      "bamboolink declare-lost a-1 --the-host-is-off",
    ]],
  });
  host = Option.String({ name: "HOST" });
  isConfirmed = Option.Boolean("--the-host-is-off", false, {
    description: "Confirms that you verified that the host is powered off.",
  });

  protected override async runOn(
    fleet: FleetState,
    store: Store,
  ): Promise<Result<Output, BamboolinkError>> {
    const step = "operator.declare_lost";
    if (!this.isConfirmed) {
      const message =
        "expected --the-host-is-off: if the host is still running, its keys get a second owner and orders may be duplicated";
      return err(BamboolinkError.create("invalid", message, { step }));
    }
    const sessions = findSessions(fleet, this.host);
    if (sessions.length === 0) {
      return err(
        BamboolinkError.create(
          "not_found",
          `host '${this.host}' has no session`,
          { step },
        ),
      );
    }
    const written = await Promise.all(
      sessions.map(({ key, record, revision }) => {
        const lost: SessionRecord = {
          ...record,
          state: "sealed",
          declared_lost: true,
          sealed_reason: "declared lost by an operator",
        };
        return writeAndVerify(store, {
          key,
          value: JSON.stringify(lost),
          expectedRevision: revision,
        });
      }),
    );
    const failed = written.find((result) => result.isErr());
    return failed?.isErr() === true ? err(failed.error) : ok({
      lines: [
        `${this.host} is declared lost; its keys will be assigned to new owners`,
      ],
      data: { host: this.host, sessions: sessions.length },
    });
  }
}

function findSessions(
  fleet: FleetState,
  host: string,
): Versioned<SessionRecord>[] {
  return [...fleet.sessions.values()]
    .filter(({ record }) => record.host === host && record.state !== "ended")
    .map((session) => ({ ...session, key: sessionKey(session.record.id) }));
}
