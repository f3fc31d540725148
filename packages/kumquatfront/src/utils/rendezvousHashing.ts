/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): processes with the same list of names pick the same name
 * for a key, and adding or removing a name moves only the keys of that name.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes a 32-bit hash (FNV-1a with a finalizer) that is the same in every process.
 *
 * @param text - the text to hash
 * @returns an integer from 0 to 2^32 - 1
 * @example
 * ```ts
 * rendezvousHashing.hash('engine-7') % 4;
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
 * Picks the name responsible for a key.
 *
 * @param candidates - names to pick from
 * @returns one of the names, or undefined if there are none
 * @example
 * ```ts
 * const coordinator = rendezvousHashing.pick('ledger-llm/0', ['entry-1', 'entry-2']);
 * ```
 */
export function pick(key: string, candidates: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestScore = -1;
  for (const name of candidates) {
    const score = hash(`${key}|${name}`);
    if (score > bestScore) {
      best = name;
      bestScore = score;
    }
  }
  return best;
}

/**
 * Picks several names for a key, in the order of their preference.
 *
 * @returns at most `count` names
 * @example
 * ```ts
 * const copies = rendezvousHashing.pickSeveral('request-7', ['entry-1', 'entry-2', 'entry-3'], 2);
 * ```
 */
export function pickSeveral(key: string, candidates: readonly string[], count: number): readonly string[] {
  return candidates
    .map((name) => ({ name, score: hash(`${key}|${name}`) }))
    .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
    .slice(0, count)
    .map(({ name }) => name);
}

/**
 * Computes a digest of a set of names, in any order.
 *
 * @returns the digest; never 0
 * @example
 * ```ts
 * rendezvousHashing.digestOf(['10.0.0.1:7300', '10.0.0.2:7300']);
 * ```
 */
export function digestOf(names: readonly string[]): number {
  return Math.max(1, hash([...names].sort().join(' ')));
}
