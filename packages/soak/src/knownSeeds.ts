/**
 * Seeds that failed once, each with the cause that was found; `npm run soak:processes -- --known` plays them.
 */

/** A seed with what it showed. */
export interface KnownSeed {
  readonly seed: number;
  readonly cause: string;
}

const NO_HANDLER = 'a hang-up signal during its start ended an entry: no handler was there yet';
const REORDERED = 'the proxy let bytes overtake delayed ones, so that events came out of order';
const SAME_PORT =
  'two programs of the run were given the same port, and one ended at its start: the address was in use';
const SECOND_DISK = 'the soak took a second disk before the first replica was repaired';

/** Every seed that ever failed for a cause in the programs or in the soak. */
export const knownSeeds: readonly KnownSeed[] = [
  { seed: 1, cause: NO_HANDLER },
  { seed: 4, cause: SECOND_DISK },
  { seed: 400, cause: SAME_PORT },
  ...[21, 24, 25, 104, 109, 117, 143, 145, 147, 148].map((seed) => ({ seed, cause: REORDERED })),
];
