/**
 * Collects the body of a response without keeping the buffers in which small pieces arrived.
 *
 * @module
 */

/** Pieces from this size on are kept as they arrived, in bytes; smaller ones are copied into blocks. */
const MIN_KEPT_BYTES = 16_384;
/** This many pieces are kept whatever their size: most bodies arrive in one piece, and a block would outsize them. */
const MAX_SMALL_PIECES = 16;
const BLOCK_BYTES = 65_536;

/** The bytes of one body. */
export class ResponseBody {
  private readonly buffers: Buffer[] = [];
  /** The last buffer if it is a block, and how many bytes of it are used. */
  private block: Buffer | undefined;
  private blockBytes = 0;
  private size = 0;

  private constructor() {}

  /** Creates an empty body. */
  static create(): ResponseBody {
    return new ResponseBody();
  }

  /** Size in bytes. */
  get length(): number {
    return this.size;
  }

  /** Appends a piece, which the caller must not change afterwards. */
  append(piece: Buffer): void {
    this.size += piece.length;
    if (
      piece.length >= MIN_KEPT_BYTES ||
      this.buffers.length < MAX_SMALL_PIECES
    ) {
      this.closeBlock();
      this.buffers.push(piece);
      return;
    }
    let offset = 0;
    while (offset < piece.length) {
      this.block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
      const copied = piece.copy(this.block, this.blockBytes, offset);
      offset += copied;
      this.blockBytes += copied;
      if (this.blockBytes === BLOCK_BYTES) {
        this.closeBlock();
      }
    }
  }

  /** Returns all bytes; the body can't be used afterwards. */
  take(): Buffer {
    this.closeBlock();
    const [first] = this.buffers;
    return this.buffers.length === 1 ? first! : Buffer.concat(this.buffers);
  }

  /** Discards all bytes. */
  clear(): void {
    this.buffers.length = 0;
    this.block = undefined;
    this.blockBytes = 0;
    this.size = 0;
  }

  private closeBlock(): void {
    if (this.block !== undefined && this.blockBytes > 0) {
      this.buffers.push(this.block.subarray(0, this.blockBytes));
    }
    this.block = undefined;
    this.blockBytes = 0;
  }
}
