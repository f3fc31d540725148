/**
 * Seeds of past failures with their causes; `npm run soak:processes -- --known` runs them as regression tests.
 */

/** A seed and the cause of its failure. */
export interface KnownSeed {
  readonly seed: number;
  readonly cause: string;
}

const NO_HANDLER = 'an entry was terminated by SIGHUP during its start, before its handler was installed';
const REORDERED = 'the proxy reordered delayed bytes, so that events arrived out of order';
const SAME_PORT =
  'two processes of the run were allocated the same port, and one failed to start with its address in use';
const SLOW_PEER = 'entries that were cut off passed over the only entry that relays after one late answer';
const SECOND_DISK = 'the soak erased a second disk before the first replica was repaired';

/** All seeds that failed because of a fault in the processes or in the soak itself. */
export const knownSeeds: readonly KnownSeed[] = [
  { seed: 1, cause: NO_HANDLER },
  { seed: 4, cause: SECOND_DISK },
  { seed: 400, cause: SAME_PORT },
  ...[31_101, 31_201, 31_206].map((seed) => ({ seed, cause: SLOW_PEER })),
  ...[21, 24, 25, 104, 109, 117, 143, 145, 147, 148].map((seed) => ({ seed, cause: REORDERED })),
];
