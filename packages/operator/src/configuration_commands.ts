/**
 * `bamboolink config ...`: validate, apply, show and compare the configuration.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import {
  applyDocument,
  type Change,
  compareDocuments,
  validateDocument,
} from "@bamboolink/configuration";
import { BamboolinkError } from "@bamboolink/errors";
import { type Store, writeAndVerify } from "@bamboolink/store";
import {
  CONFIGURATION_KEY,
  type ConfigurationDocument,
  ConfigurationRecord,
  type ConfigurationVersion,
} from "@bamboolink/types";
import { Command, Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import { readFleetStatus } from "./fleet_status.ts";
import {
  defaultAuthor,
  OperatorCommand,
  type Output,
  readFleet,
  readJsonFile,
  StoreCommand,
} from "./operator_command.ts";

/** Time between two status requests of `apply --wait` to the planner, in milliseconds. */
const POLL_INTERVAL_MS = 200;

interface StoredConfiguration {
  readonly record: ConfigurationRecord | undefined;
  readonly revision: number;
}

async function readValidDocument(
  path: string,
): Promise<Result<ConfigurationDocument, BamboolinkError>> {
  const json = await readJsonFile(path);
  return json.andThen((value) =>
    validateDocument(value).mapErr((problems) => {
      const lines = problems.map((problem) =>
        `${path}: ${problem.path}: ${problem.message}`
      );
      return BamboolinkError.create("invalid", lines.join("\n"), {
        step: "configuration.validate",
      });
    })
  );
}

async function readStored(
  store: Store,
): Promise<Result<StoredConfiguration, BamboolinkError>> {
  const found = await store.get(CONFIGURATION_KEY);
  return found.andThen((stored) => {
    if (stored === undefined) {
      return ok({ record: undefined, revision: 0 });
    }
    const parsed = ConfigurationRecord.safeParse(JSON.parse(stored.value));
    return parsed.success
      ? ok({ record: parsed.data, revision: stored.revision })
      : err(
        BamboolinkError.create(
          "invalid",
          `the configuration record in the store is invalid: ${parsed.error.message}`,
          {
            step: "configuration.read",
          },
        ),
      );
  });
}

function describeChanges(changes: readonly Change[]): string[] {
  const format = (value: unknown) =>
    value === undefined ? "(none)" : JSON.stringify(value);
  return changes.length === 0
    ? ["no difference"]
    : changes.map((change) =>
      `${change.path}: ${format(change.before)} -> ${format(change.after)}`
    );
}

function findVersion(
  record: ConfigurationRecord | undefined,
  version: number | undefined,
): Result<ConfigurationVersion, BamboolinkError> {
  const all = record === undefined ? [] : [record.current, ...record.history];
  const found = version === undefined
    ? all[0]
    : all.find((entry) => entry.version === version);
  const retainedVersions = all.map((entry) => entry.version).join(", ");
  const message = all.length === 0
    ? "there is no configuration yet"
    : `version ${version} is not retained; retained versions: ${retainedVersions}`;
  return found === undefined
    ? err(
      BamboolinkError.create("not_found", message, {
        step: "configuration.find",
      }),
    )
    : ok(found);
}

function parseVersion(
  text: string | undefined,
  flag: string,
): Result<number | undefined, BamboolinkError> {
  if (text === undefined) {
    return ok(undefined);
  }
  const message = `setting ${flag}: expected a version number, got ${
    JSON.stringify(text)
  }`;
  return /^\d+$/.test(text) ? ok(Number(text)) : err(
    BamboolinkError.create("invalid", message, { step: "operator.settings" }),
  );
}

/** `config validate FILE` */
export class ConfigValidate extends OperatorCommand {
  static override paths = [["config", "validate"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "Check a document without applying it.",
    examples: [["Check a file", "bamboolink config validate atlas.json"]],
  });
  file = Option.String({ name: "FILE" });

  protected override async run(): Promise<Result<Output, BamboolinkError>> {
    const document = await readValidDocument(this.file);
    return document.map(({ services }) => ({
      lines: [`${this.file} is valid: ${services.length} services`],
      data: { valid: true, services: services.length },
    }));
  }
}

/** `config apply FILE` */
export class ConfigApply extends StoreCommand {
  static override paths = [["config", "apply"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "Put a document in force.",
    details:
      "The document is accepted or rejected as a whole. If another version was applied after the one given by --expect, nothing is written and the error lists the changes since.",
    examples: [
      [
        "Apply on top of version 7 and wait until it is in force everywhere",
        "bamboolink config apply atlas.json --expect 7 --wait",
      ],
    ],
  });
  file = Option.String({ name: "FILE" });
  expect = Option.String("--expect", {
    description:
      "The version the change starts from; by default the one in force now.",
  });
  author = Option.String("--author", defaultAuthor(), {
    description: "Author to record with the version.",
  });
  note = Option.String("--note", "", {
    description: "Note to record with the version.",
  });
  wait = Option.Boolean("--wait", false, {
    description: "Wait until every daemon reports the version as in force.",
  });
  timeout = Option.String("--timeout-ms", "10000", {
    description: "Timeout of --wait, in milliseconds.",
  });

  protected override async runWith(
    store: Store,
  ): Promise<Result<Output, BamboolinkError>> {
    const document = await readValidDocument(this.file);
    const expected = parseVersion(this.expect, "--expect");
    const stored = await readStored(store);
    if (document.isErr() || expected.isErr() || stored.isErr()) {
      return err(
        [document, expected, stored].flatMap((part) =>
          part.isErr() ? [part.error] : []
        )[0] as BamboolinkError,
      );
    }
    const attempt = randomUUID();
    const next = applyDocument(stored.value.record, {
      document: document.value,
      expectedVersion: expected.value ?? stored.value.record?.current.version ??
        0,
      author: this.author,
      note: this.note,
      attempt,
      nowMs: Date.now(),
    });
    if (next.isErr()) {
      return err(next.error);
    }
    const written = await this.write(store, {
      next: next.value,
      revision: stored.value.revision,
      attempt,
    });
    if (written.isErr()) {
      return err(written.error);
    }
    const { version } = next.value.current;
    const changes = compareDocuments(
      stored.value.record?.current.document,
      document.value,
    );
    const outcome = this.wait
      ? await this.waitForAll(store, version)
      : ok(undefined);
    return outcome.map((daemons) => ({
      lines: [
        `version ${version} is accepted`,
        ...(daemons === undefined ? [] : [`in force at ${daemons} daemons`]),
        ...describeChanges(changes),
      ],
      data: { version, changes, in_force_at: daemons },
    }));
  }

  /**
   * Writes the record. If the store's response is lost, finds out whether the write took effect by searching the
   * record and its history for the attempt's id.
   */
  private async write(
    store: Store,
    change: { next: ConfigurationRecord; revision: number; attempt: string },
  ): Promise<Result<number, BamboolinkError>> {
    const written = await writeAndVerify(store, {
      key: CONFIGURATION_KEY,
      value: JSON.stringify(change.next),
      expectedRevision: change.revision,
    }, { isOwn: (value) => value?.includes(change.attempt) === true });
    if (written.isOk() || written.error.code !== "conflict") {
      return written;
    }
    const latest = await readStored(store);
    const current = latest.isOk() ? latest.value.record?.current : undefined;
    const by = current === undefined
      ? ""
      : `; version ${current.version} by ${current.author} is in force now`;
    const message =
      `another configuration was applied first${by}; see \`bamboolink config diff\``;
    return err(
      BamboolinkError.create("conflict", message, {
        step: "configuration.apply",
      }),
    );
  }

  private async waitForAll(
    store: Store,
    version: number,
  ): Promise<Result<number, BamboolinkError>> {
    const deadlineMs = Date.now() + Number(this.timeout);
    let outdatedHosts: string[] = [];
    while (Date.now() < deadlineMs) {
      const fleet = await readFleet(store);
      const status = fleet.isOk()
        ? await readFleetStatus(fleet.value)
        : err(fleet.error);
      if (status.isOk()) {
        outdatedHosts = status.value.filter((daemon) =>
          daemon.configurationVersion < version
        ).map((daemon) => daemon.host);
        if (outdatedHosts.length === 0) {
          return ok(status.value.length);
        }
      }
      await sleep(POLL_INTERVAL_MS);
    }
    const message =
      `version ${version} is accepted, but these did not report it within the timeout: ${
        outdatedHosts.join(", ") || "the planner"
      }`;
    return err(
      BamboolinkError.create("timeout", message, {
        step: "configuration.wait",
      }),
    );
  }
}

/** `config show` */
export class ConfigShow extends StoreCommand {
  static override paths = [["config", "show"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "Print the document in force, or an earlier one.",
    examples: [["Print version 6", "bamboolink config show --version 6"]],
  });
  version = Option.String("--version", { description: "An earlier version." });

  protected override async runWith(
    store: Store,
  ): Promise<Result<Output, BamboolinkError>> {
    const requestedVersion = parseVersion(this.version, "--version");
    const stored = await readStored(store);
    if (requestedVersion.isErr() || stored.isErr()) {
      return err(
        requestedVersion.isErr()
          ? requestedVersion.error
          : (stored as { error: BamboolinkError }).error,
      );
    }
    return findVersion(stored.value.record, requestedVersion.value).map((
      version,
    ) => ({
      lines: [JSON.stringify(version.document, null, 2)],
      data: version,
    }));
  }
}

/** `config history` */
export class ConfigHistory extends StoreCommand {
  static override paths = [["config", "history"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "List the retained versions, newest first.",
  });

  protected override async runWith(
    store: Store,
  ): Promise<Result<Output, BamboolinkError>> {
    const stored = await readStored(store);
    return stored.map(({ record }) => {
      const versions =
        (record === undefined ? [] : [record.current, ...record.history])
          .map(({ version, author, note, applied_at_ms }) => ({
            version,
            author,
            note,
            applied_at_ms,
          }));
      const lines = versions.map((
        { version, author, note, applied_at_ms: at },
      ) =>
        `${String(version).padStart(6)}  ${
          new Date(at).toISOString()
        }  ${author}  ${note}`
      );
      return {
        lines: lines.length === 0 ? ["there is no configuration yet"] : lines,
        data: versions,
      };
    });
  }
}

/** `config diff` */
export class ConfigDiff extends StoreCommand {
  static override paths = [["config", "diff"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description:
      "Compare a file, or a version, with the document in force or another version.",
    examples: [
      ["What would a file change", "bamboolink config diff atlas.json"],
      ["What did version 7 change", "bamboolink config diff --from 6 --to 7"],
    ],
  });
  file = Option.String({ name: "FILE", required: false });
  from = Option.String("--from", {
    description: "The version before; by default the one in force.",
  });
  to = Option.String("--to", {
    description: "The version after; by default the one in force.",
  });

  protected override async runWith(
    store: Store,
  ): Promise<Result<Output, BamboolinkError>> {
    const stored = await readStored(store);
    const versionNumbers = [
      parseVersion(this.from, "--from"),
      parseVersion(this.to, "--to"),
    ] as const;
    if (
      stored.isErr() || versionNumbers[0].isErr() || versionNumbers[1].isErr()
    ) {
      return err(
        [stored, ...versionNumbers].flatMap((part) =>
          part.isErr() ? [part.error] : []
        )[0] as BamboolinkError,
      );
    }
    const { record } = stored.value;
    const before = findVersion(record, versionNumbers[0].value);
    const after = this.file === undefined
      ? findVersion(record, versionNumbers[1].value).map((version) =>
        version.document
      )
      : await readValidDocument(this.file);
    if (before.isErr() || after.isErr()) {
      return err(
        before.isErr()
          ? before.error
          : (after as { error: BamboolinkError }).error,
      );
    }
    const changes = compareDocuments(before.value.document, after.value);
    return ok({
      lines: describeChanges(changes),
      data: { from: before.value.version, changes },
    });
  }
}
