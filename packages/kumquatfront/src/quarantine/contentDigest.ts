/**
 * Names what a request asks for, whoever brings it again under whatever identity.
 */
import * as crypto from 'node:crypto';

import type * as relayTypes from '../relay/types.js';

/** Hexadecimal digits kept: 128 bits, so that nobody can make a request that is taken for another one. */
const DIGITS = 32;

/** Digests by request: several decisions about one request need it, and a body may have megabytes. */
const digests = new WeakMap<relayTypes.TrafficRequest, string>();

/**
 * Digest of a request's content: method, host, path with query, client account and the whole body.
 *
 * The account is part of it, so that nothing an account does turns away another's requests. Other headers are not:
 * identities, times left and guesses of length differ between a request and the same one brought again.
 *
 * @param request - the request
 * @param account - name of its client account; empty where none is needed
 * @returns 32 hexadecimal digits
 * @example
 * ```ts
 * contentDigest.of(request, 'school-1');
 * ```
 */
export function of(request: relayTypes.TrafficRequest, account: string): string {
  const known = digests.get(request);
  if (known !== undefined) {
    return known;
  }
  const { method, host, path, body } = request;
  const digest = crypto
    .createHash('sha256')
    .update(JSON.stringify([method, host, path, account]))
    .update(body)
    .digest('hex')
    .slice(0, DIGITS);
  digests.set(request, digest);
  return digest;
}
