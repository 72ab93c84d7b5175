/** The log of a controller in production. */
import pino from 'pino';
import type { Logger } from '../runtime/runtime.js';

const LOG_LEVELS = ['error', 'info', 'debug'] as const;

/** How much is logged: lines of this level and above. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** The level that the environment variable LOG_LEVEL names; `info` where it names none. */
export function readLogLevel(value: string | undefined): LogLevel {
  return LOG_LEVELS.find((level) => level === value) ?? 'info';
}

/**
 * Logs JSON lines on standard error. They are written synchronously, so none is lost when the process is
 * killed. `host` is a field of every line.
 */
export function createLogger(level: LogLevel, host: string): Logger {
  return pino(
    { level, base: { host }, timestamp: pino.stdTimeFunctions.isoTime },
    pino.destination({ dest: 2, sync: true }),
  );
}
