/**
 * Canonical JSON: equal values have the same text regardless of the order of their keys.
 */
import * as crypto from 'node:crypto';

function sortKeys(_key: string, value: unknown): unknown {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    return value;
  }
  const record = value as Record<string, unknown>;
  return Object.fromEntries(
    Object.keys(record)
      .sort()
      .map((key) => [key, record[key]]),
  );
}

/**
 * Serializes a value as canonical JSON.
 *
 * @param value - a JSON value
 * @returns the JSON text with sorted keys
 * @example
 * ```ts
 * canonicalJson.stringify({ b: 1, a: 2 }); // '{"a":2,"b":1}'
 * ```
 */
export function stringify(value: unknown): string {
  return JSON.stringify(value, sortKeys);
}

/**
 * Returns the SHA-256 digest of the canonical JSON text.
 *
 * @param value - a JSON value
 * @returns 64 hexadecimal digits
 * @example
 * ```ts
 * canonicalJson.digest({ amount: 12 });
 * ```
 */
export function digest(value: unknown): string {
  return crypto.createHash('sha256').update(stringify(value)).digest('hex');
}
