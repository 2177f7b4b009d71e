/**
 * Asynchronous tasks that the control loop starts without waiting for them.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";

/** Runs at most one instance of a task at a time; starts during a run are ignored. */
export class BackgroundTask {
  private running = false;

  private constructor(
    private readonly logger: Logger,
    private readonly step: string,
  ) {}

  /** Creates a task; `step` names it in the log. */
  static create(logger: Logger, step: string): BackgroundTask {
    return new BackgroundTask(logger, step);
  }

  get isRunning(): boolean {
    return this.running;
  }

  /** Runs `work` unless a run is in progress. A rejection is logged and ends only this run. */
  start(work: () => Promise<void>): void {
    if (this.running) {
      return;
    }
    this.running = true;
    work()
      .catch((cause) =>
        this.logger.log("unexpected_error", { step: this.step, cause })
      )
      .finally(() => {
        this.running = false;
      });
  }
}
