/**
 * Remembers which requests a backend server has answered recently.
 *
 * @module
 */
import {
  fingerprintRequest,
  type RequestContent,
} from "./request_fingerprint.ts";

/** How many answered requests are remembered: a few seconds of a busy server. */
const MAX_REQUESTS = 256;
/** Requests with larger bodies are not remembered, in bytes, because their bodies would stay in memory. */
const MAX_BODY_BYTES = 4_096;

/**
 * The requests that one process of a backend server answered last. A request that the process has answered did not
 * crash it; without this, a popular request would become a suspect at every crash, because it is always in flight.
 *
 * Fingerprints are computed only after a crash: each costs a hash, and thousands of requests per second would pay that
 * for an event that occurs about once a day.
 */
export class RecentResponses {
  private contents: RequestContent[] = [];
  private nextIndex = 0;

  private constructor() {}

  /** Creates an empty record. */
  static create(): RecentResponses {
    return new RecentResponses();
  }

  /** Records an answered request. */
  record(content: RequestContent): void {
    if ((content.body?.length ?? 0) <= MAX_BODY_BYTES) {
      this.contents[this.nextIndex] = content;
      this.nextIndex = (this.nextIndex + 1) % MAX_REQUESTS;
    }
  }

  /** Returns the fingerprints of the recorded requests, and clears the record; called when the process has ended. */
  takeFingerprints(): ReadonlySet<string> {
    const { contents } = this;
    this.contents = [];
    this.nextIndex = 0;
    return new Set(contents.map(fingerprintRequest));
  }
}
