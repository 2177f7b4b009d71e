/**
 * Tests of the order of revisions over eras of the store.
 *
 * @module
 */
import { expect } from "chai";
import { toMonotonicRevision, toStoreRevision } from "./store_position.ts";

/** Names of seals that one revision has room for, the largest factor that an order is multiplied by. */
const SEALS_PER_REVISION = 65_536;

describe("the order of the store's revisions", () => {
  it("rises with an era, though the revision goes back", () => {
    const before = toMonotonicRevision({ era: 1, revision: 90_000 });
    const after = toMonotonicRevision({ era: 2, revision: 80_000 });
    expect(after).to.be.above(before);
  });

  it("is the revision itself while the store never went back, and 0 for nothing", () => {
    expect(toMonotonicRevision({ era: 0, revision: 7 })).to.equal(7);
    expect(toMonotonicRevision({ era: 9, revision: 0 })).to.equal(0);
  });

  it("gives the revision of the same era back, and none of an earlier one", () => {
    const order = toMonotonicRevision({ era: 3, revision: 12 });
    expect(toStoreRevision(order, 3)).to.equal(12);
    expect(toStoreRevision(order, 4)).to.equal(undefined);
    expect(toStoreRevision(0, 4)).to.equal(0);
  });

  it("stays exact where seals are named by it, for a thousand eras", () => {
    const order = toMonotonicRevision({ era: 1_000, revision: 10 ** 9 });
    expect(Number.isSafeInteger(order * SEALS_PER_REVISION)).to.equal(true);
  });
});
