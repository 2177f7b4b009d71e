/**
 * Settings from flags and environment variables.
 *
 * @module
 */
export {
  describeSettings,
  readSettings,
  type SettingDescription,
  SettingsError,
} from "./settings.ts";
