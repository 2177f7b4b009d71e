/**
 * Bounds the memory that response bodies take while they are received, against servers that send without end.
 *
 * @module
 */

/** Share of a process's memory limit that response bodies may take while they are received. */
const MEMORY_SHARE = 1 / 8;
/** Share of that which one body may take, so that one cannot displace all others. */
const BODY_SHARE = 1 / 4;
/** Upper bound on one body, in bytes. */
const MAX_BODY_BYTES = 67_108_864;
/** Bytes for all bodies if the memory limit of the process is unknown. */
const DEFAULT_BYTES = 268_435_456;

/** A body that is being received. */
export interface ReceivedBody {
  /** Its length according to its header, in bytes; `undefined` without one. */
  readonly declaredBytes: number | undefined;
  readonly receivedBytes: number;
  /** Called when it has to make room for others; it must be discarded. */
  readonly onDisplaced: () => void;
}

/** The bodies that are being received, and the bytes that they take. */
export class ResponseMemory {
  private readonly bodies = new Set<ReceivedBody>();
  private totalBytes = 0;

  private constructor(private readonly limitBytes: number) {}

  /**
   * Creates the memory of a process.
   *
   * @param processBytes the memory limit of the process; `undefined` if it is unknown.
   */
  static create(processBytes?: number): ResponseMemory {
    return new ResponseMemory(
      processBytes === undefined ? DEFAULT_BYTES : processBytes * MEMORY_SHARE,
    );
  }

  /** Creates a memory for responses of which none takes more than `bodyBytes`. */
  static createForSmall(bodyBytes: number): ResponseMemory {
    return new ResponseMemory(bodyBytes / BODY_SHARE);
  }

  /** Upper bound on one body, in bytes. */
  get maxBodyBytes(): number {
    return Math.min(MAX_BODY_BYTES, this.limitBytes * BODY_SHARE);
  }

  /** Bytes that the bodies take now. */
  get usedBytes(): number {
    return this.totalBytes;
  }

  /**
   * Accounts for bytes of a body that are about to be added to it. If there is no room, bodies are displaced, beginning
   * with that which is the farthest from its end.
   *
   * @returns whether they may be added: not if the body itself was displaced.
   */
  reserve(body: ReceivedBody, bytes: number): boolean {
    this.bodies.add(body);
    this.totalBytes += bytes;
    while (this.totalBytes > this.limitBytes && this.bodies.has(body)) {
      this.displaceFarthest({ body, bytes });
    }
    return this.bodies.has(body);
  }

  /** Frees the bytes of a body that is complete or discarded. */
  release(body: ReceivedBody): void {
    if (this.bodies.delete(body)) {
      this.totalBytes -= body.receivedBytes;
    }
  }

  private displaceFarthest(added: { body: ReceivedBody; bytes: number }): void {
    const farthest = [...this.bodies].reduce((left, right) =>
      expectedRemainder(right) > expectedRemainder(left) ? right : left
    );
    this.release(farthest);
    if (farthest === added.body) {
      this.totalBytes -= added.bytes;
    }
    farthest.onDisplaced();
  }
}

/** Bytes that a body is expected to lack: without a length as many as it has, as most of a growing body is to come. */
function expectedRemainder(body: ReceivedBody): number {
  return body.declaredBytes === undefined
    ? body.receivedBytes
    : body.declaredBytes - body.receivedBytes;
}
