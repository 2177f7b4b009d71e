/**
 * A compare-and-swap that reads the record back when the response to the write is lost.
 *
 * @module
 */
import { BamboolinkError } from "@bamboolink/errors";
import { err, ok, type Result } from "neverthrow";
import type { CasRequest, Store } from "./store.ts";

/** Write attempts before the effect is reported as unknown. */
const MAX_ATTEMPTS = 4;

/**
 * Writes a record and determines whether the write took effect.
 *
 * The store may apply a write whose response is then lost. A writer that takes this for a failure, or that repeats the
 * write and gets a conflict with its own first attempt, would report to the operator of an `apply` that another writer
 * changed the record although none did. Repeating the same compare-and-swap is harmless because it can take effect only
 * once, and reading the record back shows whose value it holds.
 *
 * @param options.isOwn whether a value was written by this writer. By default the text is compared, so values must
 *   contain something that is unique to the writer.
 * @returns the revision of the write; `conflict` if the record holds another value; `superseded` if the guard of the
 *   write has changed, unless an attempt may have taken effect before; `unknown_effect` if the write may have taken
 *   effect; otherwise the last error.
 */
export async function writeAndVerify(
  store: Store,
  request: CasRequest,
  options: { isOwn?: (value: string | undefined) => boolean } = {},
): Promise<Result<number, BamboolinkError>> {
  const isOwn = options.isOwn ?? ((value) => value === request.value);
  let mayHaveWritten = false;
  let lastError = BamboolinkError.create("internal", "no attempt was made", {
    step: "store.write_settled",
  });
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const written = await store.compareAndSwap(request);
    if (written.isOk()) {
      return ok(written.value);
    }
    lastError = written.error;
    mayHaveWritten ||= lastError.code === "unknown_effect";
    const isSuperseded = lastError.code === "superseded";
    const retry = lastError.code === "unknown_effect" ||
      ((lastError.code === "conflict" || isSuperseded) && mayHaveWritten);
    if (!retry) {
      return err(mayHaveWritten ? toUnknownEffect(lastError) : lastError);
    }
    const found = await store.get(request.key);
    if (found.isErr()) {
      continue;
    }
    if (isOwn(found.value?.value)) {
      return ok(found.value?.revision ?? 0);
    }
    if ((found.value?.revision ?? 0) !== request.expectedRevision) {
      const message = `${request.key} was changed by another writer`;
      return err(
        BamboolinkError.create("conflict", message, {
          step: "store.write_settled",
        }),
      );
    }
    if (isSuperseded) {
      // No attempt has taken effect, and none will.
      return err(lastError);
    }
  }
  return err(mayHaveWritten ? toUnknownEffect(lastError) : lastError);
}

function toUnknownEffect(error: BamboolinkError): BamboolinkError {
  const message =
    `could not determine whether the write took effect: ${error.message}`;
  return BamboolinkError.create("unknown_effect", message, {
    step: error.step,
    cause: error,
  });
}
