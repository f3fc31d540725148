/**
 * Bodies of answers of entries, read as a whole.
 *
 * Safeguard: the HTTP client ends a body without a length or chunks with its connection, also when that was reset. An entry sends such a
 * body only where a service has stated no more, and tells how many bytes it holds; any other is a part.
 */
import type * as undici from 'undici';

import * as responseBody from './responseBody.js';

/** Header that tells the number of bytes of a body whose framing does not. */
export const RECEIVED_HEADER = 'kumquatfront-received';

/** Statuses whose answers have no body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/**
 * Reads the body of an answer.
 *
 * @param method - method of the request
 * @returns the body as text; rejects if it is not known to be whole, or is too large
 * @example
 * ```ts
 * const text = await wholeBody.read('POST', await undici.request(url, options));
 * ```
 */
export async function read(method: string, answer: undici.Dispatcher.ResponseData): Promise<string> {
  const { statusCode, headers, body } = answer;
  const bytes = await responseBody.read(body);
  const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  const isEmpty = method === 'HEAD' || STATUSES_WITHOUT_BODY.has(statusCode);
  if (!isFramed && !isEmpty && headers[RECEIVED_HEADER] !== String(bytes.length)) {
    throw new Error('Nothing tells that the body is whole.');
  }
  return bytes.toString('utf8');
}
