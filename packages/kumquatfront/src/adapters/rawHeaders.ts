/**
 * Conversion of the `rawHeaders` of Node.js, which keep the order and case of received headers.
 */
import type * as relayTypes from '../relay/types.js';

/**
 * Converts a flat list of headers to pairs.
 *
 * @param raw - alternating names and values, as in `rawHeaders`
 * @returns pairs of name and value
 * @example
 * ```ts
 * rawHeaders.toPairs(incoming.rawHeaders); // [['Host', 'shop.example'], ...]
 * ```
 */
export function toPairs(raw: readonly string[]): readonly relayTypes.Header[] {
  const headers: relayTypes.Header[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    headers.push([raw[index] ?? '', raw[index + 1] ?? '']);
  }
  return headers;
}
