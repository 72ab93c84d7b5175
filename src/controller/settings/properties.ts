/** Reads and writes the operators' properties file. */
import { parse } from 'dot-properties';
import { propertyDefinitions, type PropertyName } from './property-definitions.js';
import { SettingsError } from './settings-error.js';

/** The value of every property. */
export type Properties = Readonly<Record<PropertyName, number>>;

const FILE_HEADER =
  '# Settings of bitternvale that operators may tune. Values shown are the defaults.\n';

const propertyNames = Object.keys(propertyDefinitions) as PropertyName[];

/** Returns the default of every property. It applies unless the operators' file sets another value. */
export function defaultProperties(): Properties {
  return Object.fromEntries(
    propertyNames.map((name) => [name, propertyDefinitions[name].default]),
  ) as Properties;
}

/** Reads the operators' file. Throws a `SettingsError` that names an unknown or invalid property. */
export function readProperties(source: string): Properties {
  const entries = parse(source) as Record<string, unknown>;
  const properties = { ...defaultProperties() } as Record<string, number>;
  for (const [name, value] of Object.entries(entries)) properties[name] = readValue(name, value);
  return properties as Properties;
}

function readValue(name: string, rawValue: unknown): number {
  if (!isPropertyName(name)) throw new SettingsError(`${name}: unknown key`);
  const { min, max } = propertyDefinitions[name];
  const text = typeof rawValue === 'string' ? rawValue.trim() : '';
  const value = Number(text);
  if (text === '' || !Number.isFinite(value) || value < min || value > max)
    throw new SettingsError(`${name}: expected a number from ${min} to ${max}, got "${text}"`);
  return value;
}

function isPropertyName(name: string): name is PropertyName {
  return Object.hasOwn(propertyDefinitions, name);
}

/** Returns the content of the shipped file: every property with its default, bounds and description. */
export function formatProperties(): string {
  return FILE_HEADER + propertyNames.map(formatProperty).join('');
}

function formatProperty(name: PropertyName): string {
  const { default: value, min, max, description } = propertyDefinitions[name];
  return `\n# ${description} (${min} to ${max})\n${name} = ${value}\n`;
}
