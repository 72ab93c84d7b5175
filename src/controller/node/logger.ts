/** Logging of a controller in production. */
import pino from 'pino';
import type { Logger } from '../runtime/runtime.js';

const LOG_LEVELS = ['error', 'info', 'debug'] as const;

/** The lowest level of the lines that are logged. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/**
 * Reads the value of the environment variable LOG_LEVEL. Returns `info` unless the value is the name of a
 * level.
 */
export function readLogLevel(value: string | undefined): LogLevel {
  return LOG_LEVELS.find((level) => level === value) ?? 'info';
}

/**
 * Creates a logger that writes JSON lines to standard error. It writes synchronously, so that no line is lost
 * when the process is killed. Each line has the field `host`.
 */
export function createLogger(level: LogLevel, host: string): Logger {
  return pino(
    { level, base: { host }, timestamp: pino.stdTimeFunctions.isoTime },
    pino.destination({ dest: 2, sync: true }),
  );
}
