/**
 * Work that the control loop starts and does not wait for.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";

/** Runs one kind of work at a time; while it runs, further starts are left out. */
export class BackgroundTask {
  private running = false;

  private constructor(
    private readonly logger: Logger,
    private readonly step: string,
  ) {}

  /** Creates one for a named step. */
  static create(logger: Logger, step: string): BackgroundTask {
    return new BackgroundTask(logger, step);
  }

  /** Whether the work runs. */
  get isRunning(): boolean {
    return this.running;
  }

  /** Starts the work unless it runs. A fault in it is logged and ends only this run. */
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
