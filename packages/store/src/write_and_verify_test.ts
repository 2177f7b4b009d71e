/**
 * Tests of writes whose answers are lost, against a small fake of the store.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { expect } from "chai";
import fc from "fast-check";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { OutageBackoff } from "./outage_backoff.ts";
import {
  type CasRequest,
  type Listing,
  Store,
  type StoredRecord,
  type Watch,
} from "./store.ts";
import { writeAndVerify } from "./write_and_verify.ts";

/** What the fake does with one call. */
type Fate =
  | "answers"
  | "lost_before"
  | "lost_after"
  | "never_connects"
  | "other_writes_first";

/** One record, and a fate for each call in turn. */
class FakeStore extends Store {
  value: string | undefined = "before";
  readonly era = 0;
  revision = 5;

  private constructor(private readonly fates: Fate[]) {
    super();
  }

  static create(fates: readonly Fate[]): FakeStore {
    return new FakeStore([...fates]);
  }

  override compareAndSwap(
    request: CasRequest,
  ): ResultAsync<number, BamboolinkError> {
    const fate = this.fates.shift() ?? "answers";
    if (fate === "never_connects") {
      return errAsync(this.fail("unreachable"));
    }
    if (fate === "other_writes_first") {
      this.write("other");
    }
    const applied = fate !== "lost_before" &&
      this.revision === request.expectedRevision;
    if (applied) {
      this.write(request.value);
    }
    if (fate === "lost_before" || fate === "lost_after") {
      return errAsync(this.fail("unknown_effect"));
    }
    return applied ? okAsync(this.revision) : errAsync(this.fail("conflict"));
  }

  override get(
    key: string,
  ): ResultAsync<StoredRecord | undefined, BamboolinkError> {
    const fate = this.fates.shift() ?? "answers";
    const lost = fate === "lost_before" || fate === "never_connects";
    return lost ? errAsync(this.fail("unreachable")) : okAsync({
      key,
      value: this.value ?? "",
      revision: this.revision,
      era: 0,
    });
  }

  private write(value: string | undefined): void {
    this.value = value;
    this.revision += 1;
  }

  private fail(
    code: "unreachable" | "unknown_effect" | "conflict",
  ): BamboolinkError {
    return BamboolinkError.create(code, code, { step: "fake" });
  }

  override list(): ResultAsync<Listing, BamboolinkError> {
    return errAsync(this.fail("unreachable"));
  }

  override grantLease(): ResultAsync<string, BamboolinkError> {
    return errAsync(this.fail("unreachable"));
  }

  override renewLease(): ResultAsync<void, BamboolinkError> {
    return errAsync(this.fail("unreachable"));
  }

  override revokeLease(): ResultAsync<void, BamboolinkError> {
    return errAsync(this.fail("unreachable"));
  }

  override watch(): Watch {
    return { stop: () => undefined };
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

const fate = fc.constantFrom<Fate>(
  "answers",
  "lost_before",
  "lost_after",
  "never_connects",
  "other_writes_first",
);
const request: CasRequest = { key: "k", value: "mine", expectedRevision: 5 };

describe("a write", () => {
  describe("under any sequence of lost calls and racing writers", () => {
    // Symptom: an operator is told of a conflict with nobody, or of a success that is not there.
    // Sequence: the write takes effect, its answer is lost, the writer tries again.
    // Cause: taking a lost answer for a failure, or the second attempt's conflict for somebody else's.
    it("tells the truth about its effect, or that it does not know", async () => {
      const property = fc.asyncProperty(
        fc.array(fate, { maxLength: 10 }),
        async (fates) => {
          const store = FakeStore.create(fates);
          const written = await writeAndVerify(store, request);
          if (written.isOk()) {
            expect(store.value).to.be.oneOf(["mine", "other"]);
            expect(written.value).to.be.above(5);
          } else if (written.error.code === "conflict") {
            expect(store.value).to.equal("other");
          } else if (written.error.code === "unreachable") {
            expect(store.value).to.equal("before");
          } else {
            expect(written.error.code).to.equal("unknown_effect");
          }
        },
      );
      await fc.assert(property, { seed: 43, numRuns: 2_000 });
    });
  });

  describe("that conflicts with its own first attempt", () => {
    it("is found to have taken effect", async () => {
      const fates: Fate[] = [
        "lost_after",
        "never_connects",
        "answers",
        "answers",
      ];
      const written = await writeAndVerify(FakeStore.create(fates), request);
      expect(written._unsafeUnwrap()).to.equal(6);
    });
  });

  describe("while the store is away", () => {
    it("is held back for pauses that grow to a second and end with an answer", () => {
      const gate = OutageBackoff.create();
      const pauses = Array.from({ length: 8 }, (_, index) => {
        const nowMs = index * 10_000;
        gate.recordFailure(nowMs, 0.999);
        return Array.from({ length: 1_100 }, (_, later) => later).find((
          later,
        ) => gate.mayCall(nowMs + later));
      });
      expect(pauses).to.deep.equal([
        50,
        100,
        200,
        400,
        800,
        1_000,
        1_000,
        1_000,
      ]);
      gate.recordResponse();
      expect(gate.mayCall(0)).to.equal(true);
    });
  });
});
