/**
 * The one place that touches `ts-results`, which is CommonJS: an ES module reaches it by its default
 * import only, so every other module namespace-imports this one.
 */
import * as tsResults from 'ts-results';

/** A result that is either a value (`ok` is true) or an error; see `Ok` and `Err`. */
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
