/**
 * Checks on demand whether the configuration in force is the newest one, before a response that rests on the absence
 * of a record in it.
 *
 * One daemon reads the store for all that ask, so that requests for unknown routes at any number of daemons cost the
 * store at most two reads per second. A daemon that gets no response in time reads the store itself, at most once per
 * second.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import type { Store } from "@bamboolink/store";
import {
  type ConfigurationEvidence,
  MAX_EVIDENCE_AGE_MS,
} from "@bamboolink/traffic";
import { toTimerMs } from "../clock.ts";
import type { ConfigurationManager } from "./configuration_manager.ts";
import type { Datagram } from "../members/datagram_codec.ts";

/** Maximum time for which a request waits for a check, in milliseconds. */
const MAX_WAIT_MS = 600;
/** Share of the time that a caller waits which a check may take. */
const MAX_WAIT_SHARE = 1 / 3;
/** Upper bound on requests that wait for a check. */
const MAX_WAITING_REQUESTS = 1_000;
/** How long the response of the reading daemon is awaited before the store is read directly, in milliseconds. */
const READER_TIMEOUT_MS = 350;
/** The reading daemon repeats evidence of up to this age, in milliseconds, instead of reading the store again. */
const MAX_REPEATED_AGE_MS = MAX_EVIDENCE_AGE_MS / 2;
/** Pause after a failed check, in milliseconds. */
const FAILURE_PAUSE_MS = 500;

/** Asks the receiver for the newest version of the configuration. */
export type ConfigurationCheckRequest = Extract<
  Datagram,
  { kind: "ask_configuration" }
>;
/** The newest version that its sender has observed in the store. */
export type ConfigurationCheckResponse = Extract<
  Datagram,
  { kind: "configuration" }
>;

/** Dependencies of a configuration checker. */
export interface ConfigurationCheckerContext {
  /** Address that identifies this daemon to others. */
  readonly address: string;
  readonly logger: Logger;
  readonly store: Store;
  /** Key of the operators' document in the store. */
  readonly documentKey: string;
  readonly configuration: ConfigurationManager;
  readonly evidence: ConfigurationEvidence;
  /** The current time in milliseconds, on a clock that includes suspensions. */
  readonly nowMs: () => number;
  /** Address of the daemon that reads the store for the others; `undefined` if there is none. */
  readonly findReader: () => string | undefined;
  /** The address at which a daemon serves its configuration, if the daemon is known. */
  readonly findPeerAddress: (daemon: string) => string | undefined;
  readonly send: (datagram: Datagram, daemon: string) => void;
  /** Waits, for a bounded time after the start, for what an earlier process of this daemon has reported to others. */
  readonly awaitEarlierReport: () => Promise<void>;
}

/** Confirms that the configuration of one daemon is current. */
export class ConfigurationChecker {
  private runningCheck: Promise<void> | undefined;
  private runningRead: Promise<void> | undefined;
  private pausedUntilMs = -Infinity;
  private waitingCount = 0;
  private onResponse: () => void = () => undefined;
  /** When the reading daemon was last asked; responses to other questions are ignored. */
  private askedAtMs: number | undefined;
  /** Until then this daemon may know less than others, so that an older version in the store looks like the newest. */
  private hasAwaitedOthers = false;

  private constructor(private readonly context: ConfigurationCheckerContext) {
    void context.awaitEarlierReport().then(() => {
      this.hasAwaitedOthers = true;
    });
  }

  /** Creates a checker that has made no check yet. */
  static create(context: ConfigurationCheckerContext): ConfigurationChecker {
    return new ConfigurationChecker(context);
  }

  /** Age of the evidence that the configuration in force is the newest one, in milliseconds. */
  get evidenceAgeMs(): number {
    const { evidence, configuration, nowMs } = this.context;
    return this.mayBeSuperseded
      ? Infinity
      : evidence.ageMs(configuration.version, nowMs());
  }

  /** Whether the configuration in force is known to be the newest one. */
  get isConfirmed(): boolean {
    const { evidence, configuration, nowMs } = this.context;
    return !this.mayBeSuperseded &&
      evidence.isRecent(configuration.version, nowMs());
  }

  private get mayBeSuperseded(): boolean {
    return !this.hasAwaitedOthers || this.context.configuration.isSuperseded;
  }

  /**
   * Waits until the configuration in force is known to be the newest one; a newer one that the check finds is in force
   * afterwards.
   *
   * @param remainingMs how long the caller still waits, in milliseconds.
   * @returns whether it is known; `false` if that can't be found out in time.
   */
  async confirm(remainingMs: number): Promise<boolean> {
    if (this.isConfirmed) {
      return true;
    }
    if (this.waitingCount >= MAX_WAITING_REQUESTS) {
      return false;
    }
    this.waitingCount += 1;
    try {
      await settleWithin(
        this.startCheck(),
        Math.min(MAX_WAIT_MS, remainingMs * MAX_WAIT_SHARE),
      );
    } finally {
      this.waitingCount -= 1;
    }
    return this.isConfirmed;
  }

  /** Responds to another daemon's request; there is no response if the store can't be read. */
  async handleRequest(
    { sender, askedAtMs }: ConfigurationCheckRequest,
  ): Promise<void> {
    const { evidence, address, nowMs, send } = this.context;
    const receivedAtMs = nowMs();
    if (this.evidenceAgeMs > MAX_REPEATED_AGE_MS) {
      await this.readStore();
    }
    const { version, observedAtMs } = evidence.observation;
    const ageMs = Math.max(0, receivedAtMs - observedAtMs);
    if (ageMs <= MAX_EVIDENCE_AGE_MS && !this.mayBeSuperseded) {
      send({
        kind: "configuration",
        sender: address,
        askedAtMs,
        version,
        ageMs,
      }, sender);
    }
  }

  /** Applies the response of the reading daemon to the last question. */
  async handleResponse(response: ConfigurationCheckResponse): Promise<void> {
    const { evidence, configuration, findPeerAddress } = this.context;
    const { sender, askedAtMs, version, ageMs } = response;
    if (askedAtMs !== this.askedAtMs) {
      return;
    }
    evidence.record({ version, observedAtMs: askedAtMs - ageMs });
    configuration.recordReportedVersion(version);
    const peer = findPeerAddress(sender);
    if (version > configuration.version && peer !== undefined) {
      await configuration.fetch(peer);
    }
    this.onResponse();
  }

  private startCheck(): Promise<void> {
    this.runningCheck ??= this.check().finally(() => {
      this.runningCheck = undefined;
    });
    return this.runningCheck;
  }

  private async check(): Promise<void> {
    const { address, findReader, nowMs, awaitEarlierReport } = this.context;
    await awaitEarlierReport();
    if (nowMs() < this.pausedUntilMs) {
      return;
    }
    const reader = findReader();
    if (reader !== undefined && reader !== address) {
      await this.askReader(reader);
    }
    if (!this.isConfirmed) {
      await this.readStore();
    }
  }

  private async askReader(reader: string): Promise<void> {
    const { address, nowMs, send } = this.context;
    const responded = new Promise<void>((resolve) => {
      this.onResponse = resolve;
    });
    const askedAtMs = nowMs();
    this.askedAtMs = askedAtMs;
    send({ kind: "ask_configuration", sender: address, askedAtMs }, reader);
    await settleWithin(responded, READER_TIMEOUT_MS);
  }

  private readStore(): Promise<void> {
    if (this.context.nowMs() < this.pausedUntilMs) {
      return Promise.resolve();
    }
    this.runningRead ??= this.readDocument().finally(() => {
      this.runningRead = undefined;
    });
    return this.runningRead;
  }

  private async readDocument(): Promise<void> {
    const { store, documentKey, configuration, evidence, nowMs, logger } =
      this.context;
    const observedAtMs = nowMs();
    const found = await store.get(documentKey);
    const text = found.unwrapOr(undefined)?.value;
    if (text !== undefined) {
      configuration.applyDocument(text, "store");
    }
    // A store that was restored from an older snapshot may hold another document than the one in force.
    if (text !== undefined && text === configuration.inForce?.text) {
      evidence.record({ version: configuration.version, observedAtMs });
      return;
    }
    this.pausedUntilMs = nowMs() + FAILURE_PAUSE_MS;
    logger.log("configuration_check_failed", {
      version: configuration.version,
      evidence_age_ms: toLoggedAge(this.evidenceAgeMs),
      cause: found.isErr() ? found.error : undefined,
    });
  }
}

/** An age as a field of a log entry; absent if it is infinite. */
export function toLoggedAge(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** Resolves when a promise has resolved, or after a timeout in milliseconds. */
async function settleWithin(
  promise: Promise<void>,
  timeoutMs: number,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, toTimerMs(timeoutMs));
  });
  await Promise.race([promise, timeout]);
  clearTimeout(timer);
}
