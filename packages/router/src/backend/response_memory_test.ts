/**
 * Tests of which bodies make room for others, with bodies of a size that callers download beside bodies without end.
 *
 * @module
 */
import { expect } from "chai";
import fc from "fast-check";
import { exceedsFramingLimit } from "./framing_limit.ts";
import { type ReceivedBody, ResponseMemory } from "./response_memory.ts";

const SEED = 20_261_204;
const PROCESS_BYTES = 250_000_000;
const LIMIT_BYTES = PROCESS_BYTES / 8;
/** Size of a large download, in bytes. */
const DOWNLOAD_BYTES = 540_000;
const PIECE_BYTES = 65_536;

class Body implements ReceivedBody {
  receivedBytes = 0;
  isDisplaced = false;

  constructor(
    private readonly memory: ResponseMemory,
    readonly declaredBytes: number | undefined,
  ) {}

  receive(bytes: number): void {
    if (!this.isDisplaced && this.memory.reserve(this, bytes)) {
      this.receivedBytes += bytes;
    }
  }

  onDisplaced(): void {
    this.isDisplaced = true;
  }
}

describe("ResponseMemory", () => {
  // Guards against a server without end that takes the room of sound downloads, or memory beyond the limit.
  it("displaces bodies without end, and never a download", () => {
    const indexes = fc.array(fc.nat(39), {
      minLength: 2_000,
      maxLength: 4_000,
    });
    fc.assert(
      fc.property(indexes, (order) => {
        const memory = ResponseMemory.create(PROCESS_BYTES);
        const endless = Array.from(
          { length: 20 },
          () => new Body(memory, undefined),
        );
        const downloads = Array.from(
          { length: 20 },
          (_, index) =>
            new Body(memory, index % 2 === 0 ? DOWNLOAD_BYTES : undefined),
        );
        order.forEach((index) => {
          const body = [...endless, ...downloads][index]!;
          const remaining = index < endless.length
            ? PIECE_BYTES
            : DOWNLOAD_BYTES - body.receivedBytes;
          body.receive(Math.min(PIECE_BYTES, remaining));
          expect(memory.usedBytes).to.be.at.most(LIMIT_BYTES);
        });
        downloads.forEach(({ isDisplaced }) =>
          expect(isDisplaced).to.equal(false)
        );
        [...endless, ...downloads].forEach((body) => memory.release(body));
        expect(memory.usedBytes).to.equal(0);
      }),
      { seed: SEED, numRuns: 20 },
    );
  });

  it("lets one body take at most a quarter of the room", () => {
    const memory = ResponseMemory.create(PROCESS_BYTES);
    expect(memory.maxBodyBytes).to.equal(LIMIT_BYTES / 4);
    expect(ResponseMemory.create().maxBodyBytes).to.equal(67_108_864);
  });
});

describe("the limit on framing", () => {
  it("allows many small chunks, and chunks of 48 bytes in any number", () => {
    const smallChunks = { bodyBytes: 10_000, totalBytes: 10_000 * 6 };
    const manyChunks = { bodyBytes: 48_000_000, totalBytes: 54_000_000 };
    expect(exceedsFramingLimit(smallChunks)).to.equal(false);
    expect(exceedsFramingLimit(manyChunks)).to.equal(false);
  });

  // Guards against a server that occupies the process with chunks of one byte.
  it("is exceeded by chunks of one byte before 100 kB have arrived", () => {
    expect(
      exceedsFramingLimit({ bodyBytes: 16_000, totalBytes: 16_000 * 6 }),
    ).to.equal(true);
  });
});
