/**
 * Parses what an upstream reports of the newest order that it has accepted.
 */
import type * as types from './types.js';

/**
 * Parses a receipt.
 *
 * @param text - JSON of the upstream
 * @returns the receipt; undefined if the text is none
 * @example
 * ```ts
 * orderReceipt.parse('{"fencingNumber":7,"target":"ledger"}')?.fencingNumber; // 7
 * ```
 */
export function parse(text: string): types.OrderReceipt | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    // Not JSON: the order counts as not confirmed, and is sent again.
    return undefined;
  }
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }
  const { fencingNumber, target } = value as Readonly<Record<string, unknown>>;
  return Number.isSafeInteger(fencingNumber) && typeof target === 'string'
    ? { fencingNumber: fencingNumber as number, target }
    : undefined;
}
