/**
 * Rendezvous hashing after Thaler and Ravishankar (1998): everyone who knows the same names picks the same
 * one for a key, and only the keys of a name that comes or goes move.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * A 32-bit hash (FNV-1a with a final mix), the same in every process.
 *
 * @param text - what is hashed
 * @returns a whole number from 0 to 2^32 - 1
 * @example
 * ```ts
 * rendezvous.hash('engine-7') % 4;
 * ```
 */
export function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let position = 0; position < text.length; position += 1) {
    value = Math.imul(value ^ text.charCodeAt(position), FNV_PRIME);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

/**
 * Picks the name for a key.
 *
 * @param key - what needs someone responsible
 * @param names - who could be
 * @returns one of the names; undefined where there is none
 * @example
 * ```ts
 * const coordinator = rendezvous.pick('ledger-llm/0', ['entry-1', 'entry-2']);
 * ```
 */
export function pick(key: string, names: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestScore = -1;
  for (const name of names) {
    const score = hash(`${key}|${name}`);
    if (score > bestScore) {
      best = name;
      bestScore = score;
    }
  }
  return best;
}
