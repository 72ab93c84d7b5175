/** The log of a controller. */
import pino from 'pino';
import type { Logger } from '../runtime/runtime.js';

/** Structured lines on standard error, written at once. */
export function createLogger(level: string, host: string): Logger {
  return pino(
    { level, base: { host }, timestamp: pino.stdTimeFunctions.isoTime },
    pino.destination({ dest: 2, sync: true }),
  );
}

/** Values of the environment variable LOG_LEVEL. */
export const LOG_LEVELS = ['error', 'info', 'debug'];
