/**
 * Headers as Node.js received them, in order and case.
 */
import type * as relayTypes from '../relay/types.js';

/**
 * Pairs names with values.
 *
 * @param raw - names and values by turns, as in `rawHeaders`
 * @returns the headers
 * @example
 * ```ts
 * rawHeaders.pairs(incoming.rawHeaders); // [['Host', 'shop.example'], ...]
 * ```
 */
export function pairs(raw: readonly string[]): readonly relayTypes.Header[] {
  const headers: relayTypes.Header[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    headers.push([raw[index] ?? '', raw[index + 1] ?? '']);
  }
  return headers;
}
