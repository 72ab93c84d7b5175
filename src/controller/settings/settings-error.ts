/** Settings that cannot be used. The message is one line that names the field or property at fault. */
export class SettingsError extends Error {}
