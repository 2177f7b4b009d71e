/**
 * Where the operators' document lies, and how it is read.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type { TrafficConfiguration } from "@bamboolink/types";
import type { Result } from "neverthrow";

/** The operators' document. */
export abstract class ConfigurationDocument {
  /** The document's key in the store. */
  abstract readonly key: string;

  /** All that operators write lies below this prefix. */
  abstract readonly prefix: string;

  /** The availability zone that a key in the store evacuates while it is there; `undefined` for other keys. */
  abstract readEvacuatedZone(key: string): string | undefined;

  /** Decodes the document. */
  abstract decode(text: string): Result<TrafficConfiguration, BamboolinkError>;
}
