/**
 * Bodies of requests: small ones are kept, so that they can be sent again; larger ones stream once.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { BamboolinkError } from "@bamboolink/errors";
import { err, ok, type Result } from "neverthrow";

/** Bodies up to this size are kept, in bytes. */
const MAX_BUFFERED_BYTES = 65_536;

/** The body of a request. */
export abstract class RequestBody {
  /** Whether it can be sent again after an attempt. */
  abstract readonly isReplayable: boolean;

  /** The body for one attempt. */
  abstract open(): Uint8Array | Readable | null;
}

/** A body that is kept whole. */
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

/** A body that streams through with back pressure. */
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
 * Reads the body of a request, up to what is kept; the rest streams.
 *
 * @returns `invalid` where the body is larger than `maximumBytes` or ends early.
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
  const kept: Buffer[] = [];
  let size = 0;
  try {
    while (size <= MAX_BUFFERED_BYTES) {
      const next = await chunks.next();
      if (next.done === true) {
        return ok(BufferedBody.create(Buffer.concat(kept)));
      }
      kept.push(next.value);
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
      Readable.from(continueBody({ kept, chunks }, maximumBytes), {
        objectMode: false,
      }),
    ),
  );
}

async function* continueBody(
  body: { kept: readonly Buffer[]; chunks: AsyncIterator<Buffer> },
  maximumBytes: number,
): AsyncGenerator<Buffer> {
  yield* body.kept;
  let size = body.kept.reduce((sum, chunk) => sum + chunk.length, 0);
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
