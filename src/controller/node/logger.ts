/** The log of a controller. */
import pino from 'pino';
import type { Logger } from '../runtime/runtime.js';

/**
 * Logs JSON lines on standard error. They are written synchronously, so none is lost when the process is
 * killed. `level` is one of `LOG_LEVELS`; `host` is a field of every line.
 */
export function createLogger(level: string, host: string): Logger {
  return pino(
    { level, base: { host }, timestamp: pino.stdTimeFunctions.isoTime },
    pino.destination({ dest: 2, sync: true }),
  );
}

/** The values of the environment variable LOG_LEVEL. */
export const LOG_LEVELS = ['error', 'info', 'debug'];
