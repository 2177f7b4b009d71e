/**
 * The port for the operators' configuration document: its location in the store and its format.
 *
 * @module
 */
import type { BamboolinkError } from "@bamboolink/errors";
import type { TrafficConfiguration } from "@bamboolink/types";
import type { Result } from "neverthrow";

/** The operators' configuration document. */
export abstract class ConfigurationDocument {
  /** The document's key in the store. */
  abstract readonly key: string;

  /** Prefix of all keys that operators write. */
  abstract readonly prefix: string;

  /** The availability zone that is evacuated while this key exists in the store; `undefined` for other keys. */
  abstract readEvacuatedZone(key: string): string | undefined;

  /** Decodes and validates the document; returns an error if it is invalid. */
  abstract decode(text: string): Result<TrafficConfiguration, BamboolinkError>;
}
