/**
 * Names what a request asks for, whoever brings it again under whatever identity.
 */
import * as crypto from 'node:crypto';

import type * as relayTypes from '../relay/types.js';

/** Hexadecimal digits kept: 128 bits, so that nobody can make a request that is taken for another one. */
const DIGITS = 32;

/** Digests of relayed requests: several decisions about one need it, and a body may have megabytes. */
const digests = new WeakMap<relayTypes.TrafficRequest, string>();

/**
 * Digest of parts and a body. The client account belongs to the parts, so that nothing an account does turns away
 * another's requests.
 *
 * @param parts - what the request says beside its body; framed, so that no two lists give the same text
 * @param body - its body
 * @returns 32 hexadecimal digits
 * @example
 * ```ts
 * contentDigest.ofParts(['POST', '/v1/completions', 'school-1'], body);
 * ```
 */
export function ofParts(parts: readonly string[], body: string | Uint8Array): string {
  return crypto
    .createHash('sha256')
    .update(JSON.stringify(parts))
    .update(body)
    .digest('hex')
    .slice(0, DIGITS);
}

/**
 * Digest of a relayed request's content: method, host, path with query, client account and the whole body. Other
 * headers are left out: identities, times left and guesses of length differ between a request and the same one brought
 * again.
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
  const digest = ofParts([method, host, path, account], body);
  digests.set(request, digest);
  return digest;
}
