/**
 * Remembers what a backend server has answered lately.
 *
 * @module
 */
import {
  fingerprintRequest,
  type RequestContent,
} from "./request_fingerprint.ts";

/** So many answers are remembered: a few seconds of a busy server. */
const COUNT = 256;
/** Requests with larger bodies are not remembered, in bytes: their bodies would stay in memory. */
const LARGEST_BODY_BYTES = 4_096;

/**
 * The last answers of one process of a backend server. What that process has answered did not end it: without this, what
 * many callers ask for would be suspected at every end, since it is always under way.
 *
 * Requests are named only when a server has ended. To name each costs a hash, which thousands of requests a second would
 * pay for an event of once a day.
 */
export class RecentResponses {
  private contents: RequestContent[] = [];
  private at = 0;

  private constructor() {}

  /** Creates an empty memory. */
  static create(): RecentResponses {
    return new RecentResponses();
  }

  /** Notes an answered request. */
  record(content: RequestContent): void {
    if ((content.body?.length ?? 0) <= LARGEST_BODY_BYTES) {
      this.contents[this.at] = content;
      this.at = (this.at + 1) % COUNT;
    }
  }

  /** The process has ended: names what it had answered, and forgets it. */
  takeFingerprints(): ReadonlySet<string> {
    const { contents } = this;
    this.contents = [];
    this.at = 0;
    return new Set(contents.map(fingerprintRequest));
  }
}
