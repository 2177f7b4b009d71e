/**
 * Bodies of requests: small ones are buffered, so that they can be sent again; larger ones are streamed once.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { BamboolinkError } from "@bamboolink/errors";
import { err, ok, type Result } from "neverthrow";

/** Larger bodies are streamed instead of buffered, and can't be sent again once an attempt has begun. */
const MAX_BUFFERED_BYTES = 65_536;

/** The body of a request. */
export abstract class RequestBody {
  /** Whether the body can still be sent from its start in another attempt. */
  abstract readonly isReplayable: boolean;

  /** Returns the body for one attempt; `null` if it is empty. */
  abstract open(): Uint8Array | Readable | null;
}

/** A body that is completely buffered. */
export class BufferedBody extends RequestBody {
  override readonly isReplayable = true;

  private constructor(private readonly bytes: Buffer) {
    super();
  }

  /** Creates a body from its bytes. */
  static create(bytes: Buffer): BufferedBody {
    return new BufferedBody(bytes);
  }

  override open(): Uint8Array | null {
    return this.bytes.length === 0 ? null : this.bytes;
  }
}

/** A body that is streamed through with backpressure. */
export class StreamedBody extends RequestBody {
  private opened = false;

  private constructor(private readonly stream: Readable) {
    super();
  }

  /** Creates a body from a stream. */
  static create(stream: Readable): StreamedBody {
    return new StreamedBody(stream);
  }

  override get isReplayable(): boolean {
    return !this.opened;
  }

  override open(): Readable {
    this.opened = true;
    return this.stream;
  }
}

/**
 * Reads the body of a request up to the buffering limit; the rest of a larger body is streamed.
 *
 * @returns Error `invalid` if the body is larger than `maximumBytes` or incomplete. A streamed body that exceeds
 *   `maximumBytes` later fails in its stream.
 */
export async function readRequestBody(
  incoming: IncomingMessage,
  maximumBytes: number,
): Promise<Result<RequestBody, BamboolinkError>> {
  const declared = Number(incoming.headers["content-length"] ?? 0);
  if (declared > maximumBytes) {
    return err(tooLarge(maximumBytes));
  }
  const chunks = incoming[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  const buffered: Buffer[] = [];
  let size = 0;
  try {
    while (size <= MAX_BUFFERED_BYTES) {
      const next = await chunks.next();
      if (next.done === true) {
        return ok(BufferedBody.create(Buffer.concat(buffered)));
      }
      buffered.push(next.value);
      size += next.value.length;
    }
  } catch (cause) {
    const details = { step: "request_body.read", cause };
    return err(
      BamboolinkError.create(
        "invalid",
        "the request ended before its body was whole",
        details,
      ),
    );
  }
  if (size > maximumBytes) {
    return err(tooLarge(maximumBytes));
  }
  return ok(
    StreamedBody.create(
      Readable.from(continueBody({ buffered, chunks }, maximumBytes), {
        objectMode: false,
      }),
    ),
  );
}

async function* continueBody(
  body: { buffered: readonly Buffer[]; chunks: AsyncIterator<Buffer> },
  maximumBytes: number,
): AsyncGenerator<Buffer> {
  yield* body.buffered;
  let size = body.buffered.reduce((sum, chunk) => sum + chunk.length, 0);
  for (
    let next = await body.chunks.next();
    next.done !== true;
    next = await body.chunks.next()
  ) {
    size += next.value.length;
    if (size > maximumBytes) {
      throw tooLarge(maximumBytes);
    }
    yield next.value;
  }
}

function tooLarge(maximumBytes: number): BamboolinkError {
  const message = `the body is larger than ${maximumBytes} bytes`;
  return BamboolinkError.create("invalid", message, {
    step: "request_body.read",
  });
}
