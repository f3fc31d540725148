/**
 * What the lists of safeguards are made of.
 */
/** One safeguard: replacing `find` by `replace` in a built file of the library takes it out. */
export interface Safeguard {
  readonly name: string;
  /** File below the library's `dist`. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  /** Name of a scenario, `soak:COUNT` for so many runs of random faults, or `spec:FILE`. */
  readonly scenario: string;
}
