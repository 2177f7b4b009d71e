/**
 * Where a request is at the moment, and how late this process has run since it arrived, for the log.
 *
 * @module
 */
import type { EventLoopDelay } from "./event_loop_delay.ts";

/** What a request waits for. */
export type RequestStage =
  | "body"
  | "slot"
  | "backend_server"
  | "owner_daemon"
  | "retry";

/** Progress of one request through this process. */
export class RequestProgress {
  private stage: RequestStage = "body";
  private stageStartedMs: number;
  private attempts = 0;
  private owner: string | undefined;
  private readonly initialLateMs: number;

  private constructor(
    private readonly delay: EventLoopDelay,
    private readonly startedMs: number,
  ) {
    this.stageStartedMs = startedMs;
    this.initialLateMs = delay.totalLateMs(startedMs);
  }

  static create(delay: EventLoopDelay, startedMs: number): RequestProgress {
    return new RequestProgress(delay, startedMs);
  }

  /** Records that the request waits for something else from now on; `owner` is the session that it is sent to, if any. */
  enter(stage: RequestStage, nowMs: number, owner?: string): void {
    this.stage = stage;
    this.owner = owner ?? this.owner;
    this.stageStartedMs = nowMs;
    this.attempts += stage === "slot" || stage === "owner_daemon" ? 1 : 0;
  }

  /** Fields of the log event of a request that did not end in time. */
  describe(nowMs: number): Readonly<Record<string, unknown>> {
    return {
      stage: this.stage,
      stage_ms: Math.round(nowMs - this.stageStartedMs),
      attempts: this.attempts,
      ...(this.owner === undefined ? {} : { owner: this.owner }),
      age_ms: Math.round(nowMs - this.startedMs),
      late_ms: Math.round(this.delay.totalLateMs(nowMs) - this.initialLateMs),
    };
  }
}
