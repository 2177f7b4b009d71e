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

  /** Decodes the document. */
  abstract decode(text: string): Result<TrafficConfiguration, BamboolinkError>;
}
