/**
 * A compare-and-swap whose lost answers are settled by reading back.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { err, ok, type Result } from "neverthrow";
import type { CasRequest, Store } from "./store.ts";

/** How often a write is tried before its effect is reported as unknown. */
const ATTEMPTS = 4;

/**
 * Writes a record and finds out whether the write took effect.
 *
 * What goes wrong without it: the store applies a write and its answer is lost; the writer takes it for
 * failed, or repeats it and is told of a conflict with itself. It shows as an operator who is told
 * that an apply lost a race against nobody. Repeating the same swap is harmless, because it can take
 * effect only once, and reading back tells whose value is there.
 *
 * @param isOwn tells this writer's value from any other; by default by comparing the text, so values
 *   must contain something that is unique to the writer.
 * @returns the revision of the write; `conflict` if another value is there; else the last error.
 */
export async function writeAndVerify(
  store: Store,
  request: CasRequest,
  options: { isOwn?: (value: string | undefined) => boolean } = {},
): Promise<Result<number, BamboolinkError>> {
  const isOwn = options.isOwn ?? ((value) => value === request.value);
  let mayHaveWritten = false;
  let last = BamboolinkError.create("internal", "no attempt was made", {
    step: "store.write_settled",
  });
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const written = await store.compareAndSwap(request);
    if (written.isOk()) {
      return ok(written.value);
    }
    last = written.error;
    mayHaveWritten ||= last.code === "unknown_effect";
    const retry = last.code === "unknown_effect" ||
      (last.code === "conflict" && mayHaveWritten);
    if (!retry) {
      return err(mayHaveWritten ? asUnknown(last) : last);
    }
    const found = await store.get(request.key);
    if (found.isErr()) {
      continue;
    }
    if (isOwn(found.value?.value)) {
      return ok(found.value?.revision ?? 0);
    }
    if ((found.value?.revision ?? 0) !== request.expectedRevision) {
      const message = `${request.key} was changed by somebody else`;
      return err(
        BamboolinkError.create("conflict", message, {
          step: "store.write_settled",
        }),
      );
    }
  }
  return err(mayHaveWritten ? asUnknown(last) : last);
}

function asUnknown(error: BamboolinkError): BamboolinkError {
  const message =
    `it could not be found out whether the write took effect: ${error.message}`;
  return BamboolinkError.create("unknown_effect", message, {
    step: error.step,
    cause: error,
  });
}
