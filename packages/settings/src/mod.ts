/**
 * Reads settings from flags and environment variables.
 *
 * @module
 */
export {
  describeSettings,
  EXIT_INVALID,
  readSettings,
  readSettingsOrExit,
  type SettingDescription,
  SettingsError,
  type ToolDescription,
} from "./settings.ts";
