/**
 * Tests of monotonic revisions across eras of the store.
 *
 * @module
 */
import { expect } from "chai";
import { toMonotonicRevision, toStoreRevision } from "./store_position.ts";

/** Number of seal identifiers per revision, the largest factor by which a monotonic revision is multiplied. */
const SEALS_PER_REVISION = 65_536;

describe("monotonic revisions", () => {
  it("increase with the era even if the store's revision decreases", () => {
    const before = toMonotonicRevision({ era: 1, revision: 90_000 });
    const after = toMonotonicRevision({ era: 2, revision: 80_000 });
    expect(after).to.be.above(before);
  });

  it("equal the store's revision in era 0, and are 0 for revision 0", () => {
    expect(toMonotonicRevision({ era: 0, revision: 7 })).to.equal(7);
    expect(toMonotonicRevision({ era: 9, revision: 0 })).to.equal(0);
  });

  it("convert back to the store's revision in the same era only", () => {
    const revision = toMonotonicRevision({ era: 3, revision: 12 });
    expect(toStoreRevision(revision, 3)).to.equal(12);
    expect(toStoreRevision(revision, 4)).to.equal(undefined);
    expect(toStoreRevision(0, 4)).to.equal(0);
  });

  it("yield exact seal identifiers for a thousand eras", () => {
    const revision = toMonotonicRevision({ era: 1_000, revision: 10 ** 9 });
    expect(Number.isSafeInteger(revision * SEALS_PER_REVISION)).to.equal(true);
  });
});
