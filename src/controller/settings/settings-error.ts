/** Thrown for invalid settings. The message is one line that names the invalid field or property. */
export class SettingsError extends Error {}
