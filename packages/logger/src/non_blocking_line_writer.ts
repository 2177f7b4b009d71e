/**
 * Writes lines to standard output or standard error without blocking on a slow reader.
 *
 * @module
 */
import { Socket } from "node:net";
import { Writable } from "node:stream";

/** Maximum number of bytes buffered for the reader; while it is reached, lines are dropped. */
const MAX_BUFFERED_BYTES = 262_144;

/**
 * A writable stream that drops lines while the reader of the descriptor does not keep up.
 *
 * Node.js writes to pipes synchronously, so that a stalled reader would block the whole process and with
 * it every request.
 */
export class NonBlockingLineWriter extends Writable {
  private droppedLines = 0;

  private constructor(private readonly target: Writable) {
    super({ decodeStrings: false });
  }

  /** Creates a writer to a file descriptor; regular files are written through Node's own stream. */
  static create(descriptor: 1 | 2): NonBlockingLineWriter {
    return new NonBlockingLineWriter(openDescriptor(descriptor));
  }

  /** Number of lines dropped so far. */
  get droppedLineCount(): number {
    return this.droppedLines;
  }

  override _write(
    line: unknown,
    _encoding: BufferEncoding,
    done: () => void,
  ): void {
    if (this.target.writableLength < MAX_BUFFERED_BYTES) {
      this.target.write(line);
    } else {
      this.droppedLines += 1;
    }
    done();
  }
}

function openDescriptor(descriptor: 1 | 2): Writable {
  try {
    const socket = new Socket({
      fd: descriptor,
      readable: false,
      writable: true,
    });
    // A reader that closes the pipe must not end the process, and the error can't be logged anywhere.
    socket.on("error", () => undefined);
    socket.unref();
    return socket;
  } catch {
    // The descriptor is a regular file, which has no reader that could block the process.
    return descriptor === 1 ? process.stdout : process.stderr;
  }
}
