/**
 * Notes under which requests backend servers end.
 *
 * @module
 */
import type { Logger } from "@bamboolink/logger";
import { fingerprintRequest, LostRuns } from "@bamboolink/quarantine";
import type { BackendEnd } from "./backend_keeper.ts";
import type { Work } from "./work.ts";

/** What the quarantine needs. */
export interface RequestQuarantineContext {
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** One daemon's knowledge of requests under which backend servers end. */
export class RequestQuarantine {
  private readonly lost = LostRuns.create();

  private constructor(private readonly context: RequestQuarantineContext) {}

  /** Creates one that knows of nothing. */
  static create(context: RequestQuarantineContext): RequestQuarantine {
    return new RequestQuarantine(context);
  }

  /** Notes that the backend server here has answered a request. */
  noteAnswered(): void {
    this.lost.noteAnswered(this.context.nowMs());
  }

  /** Notes that the connection to the backend server here broke while it ran a request. */
  noteLost(work: Work): void {
    this.lost.noteLost({
      requestId: work.id,
      fingerprint: fingerprintRequest(work),
      isOnProbation: false,
      atMs: this.context.nowMs(),
    });
  }

  /** Notes that the process of the backend server here has ended. */
  noteEnded({ instance, proof }: BackendEnd): void {
    const runs = this.lost.takeEnded(this.context.nowMs());
    if (runs.length > 0) {
      this.context.logger.log("backend_ended_under_requests", {
        instance,
        proof,
        requests: runs.map(({ requestId }) => requestId),
        fingerprints: runs.map(({ fingerprint }) => fingerprint),
      });
    }
  }
}
