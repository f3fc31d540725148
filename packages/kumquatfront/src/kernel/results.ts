/**
 * Re-exports `ts-results`. The package is CommonJS, whose exports an ES module reaches only through the default import;
 * all other modules use a namespace import of this one.
 */
import * as tsResults from 'ts-results';

/** Either a value (`ok` is true) or an error (`err` is true); see `Ok` and `Err`. */
export type Result<Value, Failure> = tsResults.Result<Value, Failure>;

/**
 * Wraps a value as a success.
 *
 * @example
 * ```ts
 * results.Ok(3).ok; // true
 * ```
 */
export const Ok = tsResults.default.Ok;

/**
 * Wraps an error as a failure.
 *
 * @example
 * ```ts
 * results.Err('no quorum').err; // true
 * ```
 */
export const Err = tsResults.default.Err;
