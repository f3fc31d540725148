/**
 * Computes digests that identify the content of a request, independent of the identity of each attempt.
 */
import * as crypto from 'node:crypto';

import type * as relayTypes from '../relay/types.js';

/** Hexadecimal digits of a digest: 128 bits, so that a digest of another request cannot be forged. */
const DIGEST_LENGTH = 32;

/** Caches the digest of each relayed request, since it is needed repeatedly and bodies may be megabytes long. */
const digestCache = new WeakMap<relayTypes.TrafficRequest, string>();

/**
 * Computes the digest of request attributes and a body. The attributes must include the client account, so that one
 * account cannot cause the quarantine of another account's requests.
 *
 * @param parts - attributes of the request; JSON-encoded, so that different lists never hash the same text
 * @param body - request body
 * @returns 32 hexadecimal digits
 * @example
 * ```ts
 * contentDigest.fromParts(['POST', '/v1/completions', 'school-1'], body);
 * ```
 */
export function fromParts(parts: readonly string[], body: string | Uint8Array): string {
  return crypto
    .createHash('sha256')
    .update(JSON.stringify(parts))
    .update(body)
    .digest('hex')
    .slice(0, DIGEST_LENGTH);
}

/**
 * Computes the digest of a relayed request from its method, host, path with query, client account and full body.
 * Headers are excluded: request identities, remaining times and length hints differ between retries of the same
 * request.
 *
 * @param request - relayed request
 * @param account - name of its client account; empty if the route needs none
 * @returns 32 hexadecimal digits
 * @example
 * ```ts
 * contentDigest.forRequest(request, 'school-1');
 * ```
 */
export function forRequest(request: relayTypes.TrafficRequest, account: string): string {
  const cached = digestCache.get(request);
  if (cached !== undefined) {
    return cached;
  }
  const { method, host, path, body } = request;
  const digest = fromParts([method, host, path, account], body);
  digestCache.set(request, digest);
  return digest;
}
