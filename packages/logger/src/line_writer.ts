/**
 * Writes lines without ever waiting for their reader.
 *
 * @module
 */
import { Socket } from "node:net";
import { Writable } from "node:stream";

/** Bytes that may wait for the reader; further lines are left out. */
const WAITING_BYTES = 262_144;

/**
 * A stream onto standard output that leaves lines out when its reader does not keep up.
 *
 * What goes wrong without it: Node.js writes to pipes synchronously, so a reader that stalls stops the
 * whole process, and with it every request.
 */
export class LineWriter extends Writable {
  private leftOut = 0;

  private constructor(private readonly target: Writable) {
    super({ decodeStrings: false });
  }

  /** Creates a writer onto a file descriptor; a file is written by Node's own stream. */
  static create(descriptor: 1 | 2): LineWriter {
    return new LineWriter(openDescriptor(descriptor));
  }

  /** How many lines were left out. */
  get leftOutCount(): number {
    return this.leftOut;
  }

  override _write(
    line: unknown,
    _encoding: BufferEncoding,
    done: () => void,
  ): void {
    if (this.target.writableLength < WAITING_BYTES) {
      this.target.write(line);
    } else {
      this.leftOut += 1;
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
    // A reader that has gone away must not end the process; there is nowhere to say so.
    socket.on("error", () => undefined);
    socket.unref();
    return socket;
  } catch {
    // It is a file, which has no reader to wait for.
    return descriptor === 1 ? process.stdout : process.stderr;
  }
}
