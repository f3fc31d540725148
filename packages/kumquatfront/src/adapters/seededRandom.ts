/**
 * Random number generators based on `pure-rand`, seeded for reproducible runs.
 */
import * as crypto from 'node:crypto';

import * as pureRandom from 'pure-rand';

import type * as ports from '../kernel/ports.js';

const TWO_TO_32 = 2 ** 32;

/**
 * Creates a deterministic generator from a seed.
 *
 * @param seed - an integer
 * @returns the generator
 * @example
 * ```ts
 * const random = seededRandom.create(7);
 * random.next(); // the same value in every run
 * ```
 */
export function create(seed: number): ports.Random {
  const generator = pureRandom.xoroshiro128plus(seed);
  const nextWord = (): number => pureRandom.unsafeUniformIntDistribution(0, TWO_TO_32 - 1, generator);
  const hexadecimal = (): string => nextWord().toString(16).padStart(8, '0');
  return {
    next: () => nextWord() / TWO_TO_32,
    identity: () => hexadecimal() + hexadecimal(),
  };
}

/**
 * Creates a generator with a random seed, whose identities come from the cryptographic source of the system.
 *
 * @returns the generator
 * @example
 * ```ts
 * const ports = { random: seededRandom.createUnpredictable() };
 * ```
 */
export function createUnpredictable(): ports.Random {
  const seeded = create(crypto.randomInt(2 ** 31));
  return { next: () => seeded.next(), identity: () => crypto.randomBytes(8).toString('hex') };
}
