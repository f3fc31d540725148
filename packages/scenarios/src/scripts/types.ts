/**
 * Types of the safeguard lists.
 */

/** A safeguard in the code of the library. Replacing `find` by `replace` in the built file disables it. */
export interface Safeguard {
  readonly name: string;
  /** File relative to the `dist` folder of the library. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  /** What must fail without the safeguard: name of a scenario, `soak:COUNT` for that many soak runs, or `spec:FILE`. */
  readonly scenario: string;
}
