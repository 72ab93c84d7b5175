/**
 * The elementary functions that decisions depend on, with the same results on every processor.
 *
 * JavaScript defines the results of `+ - * /` and `Math.sqrt` to the last bit, but leaves those of `Math.exp`, `Math.log`,
 * `Math.pow` and `**` to the engine, whose results differ between processors. These functions consist of the former
 * only, so that controllers on different processors rank the same jobs alike.
 */
import stdlibExp from '@stdlib/math-base-special-exp';
import stdlibLn from '@stdlib/math-base-special-ln';
import stdlibPow from '@stdlib/math-base-special-pow';

/** Returns e to the power of `exponent`. */
export function exp(exponent: number): number {
  return stdlibExp(exponent);
}

/** Returns the natural logarithm of `value`. */
export function log(value: number): number {
  return stdlibLn(value);
}

/** Returns `base` to the power of `exponent`. */
export function pow(base: number, exponent: number): number {
  return stdlibPow(base, exponent);
}
