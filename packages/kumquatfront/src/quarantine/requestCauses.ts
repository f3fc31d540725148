/**
 * What may be the cause when upstreams crash under a request: its whole content, or a part of its prompt that it shares
 * with others. Each cause has a key, by which processes exchange crash records.
 */
import type * as relayTypes from '../relay/types.js';
import * as contentDigest from './contentDigest.js';

/** Keys of the possible causes in one request. */
export interface RequestCauses {
  /** Digest of the whole content. */
  readonly content: string;
  /** Keys of the parts of its prompt, in order. */
  readonly parts: readonly string[];
}

const PART_PREFIX = 'part:';

/** Caches the causes in each relayed request, since its verdict is needed repeatedly. */
const causesCache = new WeakMap<relayTypes.TrafficRequest, { service: string; causes: RequestCauses }>();

/**
 * Key of a part of a prompt. Parts crash the upstreams of a service whichever client account sends them, so the account does
 * not belong to the key.
 *
 * @param service - service whose upstreams run it
 * @example
 * ```ts
 * requestCauses.partKey('llm', '5c1e07a2'); // 'part:llm/5c1e07a2'
 * ```
 */
export function partKey(service: string, part: string): string {
  return `${PART_PREFIX}${service}/${part}`;
}

/**
 * Tells parts of prompts from whole contents.
 *
 * @param cause - key of a cause
 * @returns true for a part of a prompt
 * @example
 * ```ts
 * requestCauses.isPart('part:llm/5c1e07a2'); // true
 * ```
 */
export function isPart(cause: string): boolean {
  return cause.startsWith(PART_PREFIX);
}

/**
 * Possible causes in a relayed request.
 *
 * @param account - name of its client account; empty if the route needs none
 * @param service - service whose upstreams may run it
 * @example
 * ```ts
 * requestCauses.forRequest(request, 'school-1', 'llm').parts;
 * ```
 */
export function forRequest(
  request: relayTypes.TrafficRequest,
  account: string,
  service: string,
): RequestCauses {
  const cached = causesCache.get(request);
  if (cached?.service === service) {
    return cached.causes;
  }
  const parts = (request.sharedParts ?? []).map((part) => partKey(service, part));
  const causes: RequestCauses = { content: contentDigest.forRequest(request, account), parts };
  causesCache.set(request, { service, causes });
  return causes;
}
