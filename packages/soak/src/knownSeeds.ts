/**
 * Seeds of past failures with their causes; `npm run soak:processes -- --known` runs them as regression tests.
 */

/** A seed and the cause of its failure. */
export interface KnownSeed {
  readonly seed: number;
  readonly cause: string;
}

const NO_HANDLER = 'a hang-up signal during its start ended an entry: no handler was there yet';
const REORDERED = 'the proxy let bytes overtake delayed ones, so that events came out of order';
const SAME_PORT =
  'two programs of the run were given the same port, and one ended at its start: the address was in use';
const SECOND_DISK = 'the soak took a second disk before the first replica was repaired';

/** All seeds that failed because of a fault in the processes or in the soak itself. */
export const knownSeeds: readonly KnownSeed[] = [
  { seed: 1, cause: NO_HANDLER },
  { seed: 4, cause: SECOND_DISK },
  { seed: 400, cause: SAME_PORT },
  ...[21, 24, 25, 104, 109, 117, 143, 145, 147, 148].map((seed) => ({ seed, cause: REORDERED })),
];
