/**
 * Base classes of all commands: access to the store, output format and error handling.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { userInfo } from "node:os";
import { BamboolinkError } from "@bamboolink/errors";
import { EtcdStore, type Store } from "@bamboolink/store";
import { KEY_PREFIX } from "@bamboolink/types";
import { type FleetState, readFleetState, View } from "@bamboolink/view";
import { Command, Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import { EXIT_CODES, exitCodeOf } from "./exit_codes.ts";

/** Timeout of one call to the store, in milliseconds. */
const STORE_TIMEOUT_MS = 5_000;
/** The commands make few calls to the store; the limit protects it from a command that loops. */
const STORE_RATE_LIMIT = {
  callsPerSecond: 20,
  callBurst: 50,
  random: Math.random,
};

/** Output of a command: `lines` as text, `data` as the JSON document of `--json`. */
export interface Output {
  readonly lines: readonly string[];
  readonly data: unknown;
}

/** A command that prints its result and maps errors to exit codes. */
export abstract class OperatorCommand extends Command {
  json = Option.Boolean("--json", false, {
    description: "Print one JSON document.",
  });

  /** Runs the command. */
  protected abstract run(): Promise<Result<Output, BamboolinkError>>;

  override async execute(): Promise<number> {
    const result = await this.run();
    if (result.isOk()) {
      const { lines, data } = result.value;
      this.context.stdout.write(
        (this.json ? JSON.stringify(data, null, 2) : lines.join("\n")) + "\n",
      );
      return EXIT_CODES.done;
    }
    const { error } = result;
    const failure = {
      error: error.code,
      step: error.step,
      peer: error.peer,
      message: error.message,
    };
    this.context.stderr.write(
      (this.json ? JSON.stringify(failure, null, 2) : error.describe()) + "\n",
    );
    return exitCodeOf(error);
  }
}

/** A command that needs access to the store. */
export abstract class StoreCommand extends OperatorCommand {
  store = Option.String("--store", {
    description: "URL of the platform's key-value service (BAMBOOLINK_STORE).",
    env: "BAMBOOLINK_STORE",
  });

  /** Runs the command with a connection to the store, which is closed afterwards. */
  protected abstract runWith(
    store: Store,
  ): Promise<Result<Output, BamboolinkError>>;

  protected override async run(): Promise<Result<Output, BamboolinkError>> {
    if (this.store === undefined || !URL.canParse(this.store)) {
      const message =
        "setting --store (or BAMBOOLINK_STORE): expected a URL such as http://127.0.0.1:2379";
      return err(
        BamboolinkError.create("invalid", message, {
          step: "operator.settings",
        }),
      );
    }
    const store = EtcdStore.create({
      url: this.store,
      timeoutMs: STORE_TIMEOUT_MS,
      ...STORE_RATE_LIMIT,
    });
    try {
      return await this.runWith(store);
    } finally {
      await store.close();
    }
  }
}

/** A command that needs the records of the fleet. */
export abstract class FleetCommand extends StoreCommand {
  /** Runs the command with the fleet's records and a connection to the store. */
  protected abstract runOn(
    fleet: FleetState,
    store: Store,
  ):
    | Result<Output, BamboolinkError>
    | Promise<Result<Output, BamboolinkError>>;

  protected override async runWith(
    store: Store,
  ): Promise<Result<Output, BamboolinkError>> {
    const fleet = await readFleet(store);
    return fleet.isErr()
      ? err(fleet.error)
      : await this.runOn(fleet.value, store);
  }
}

/** Reads all records of the fleet from the store. */
export async function readFleet(
  store: Store,
): Promise<Result<FleetState, BamboolinkError>> {
  const listing = await store.list(KEY_PREFIX);
  return listing.map(({ records, revision }) => {
    const view = View.create();
    view.merge({ from: 0, to: Math.max(revision, 1), records });
    return readFleetState(view);
  });
}

/** Reads a JSON file; `invalid` if it can't be read or parsed. */
export async function readJsonFile(
  path: string,
): Promise<Result<unknown, BamboolinkError>> {
  const step = "operator.read_file";
  try {
    const text = await readFile(path, "utf8");
    return ok(JSON.parse(text));
  } catch (cause) {
    return err(
      BamboolinkError.create(
        "invalid",
        `${path}: ${(cause as Error).message}`,
        { step, cause },
      ),
    );
  }
}

/** Default author of changes: the name of the operating system's user, `unknown` if there is none. */
export function defaultAuthor(): string {
  try {
    return userInfo().username;
  } catch {
    return "unknown";
  }
}
