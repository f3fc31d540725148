/**
 * Attributes of a generation request that the coordinator uses for placement.
 */
import * as ranks from '../placement/ranks.js';
import type * as placementTypes from '../placement/types.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import type * as exchangeContext from './exchangeContext.js';

const EMPTY_DEMAND = { promptTokens: 0, outputLimit: 0, lengthHint: 0, prompt: '' };

/**
 * Placement attributes of a request.
 *
 * @param routed - the request with its route
 * @returns the attributes; undefined if the service has no engines, so that no placement is needed
 * @example
 * ```ts
 * const attributes = generationAttributes.forRequest(routed);
 * ```
 */
export function forRequest(
  routed: exchangeContext.RoutedRequest,
): placementTypes.GenerationAttributes | undefined {
  const { request, service, route, account, accountPriority, dataCentres } = routed;
  if (service.engine === undefined) {
    return undefined;
  }
  const { generation } = request;
  return {
    identity: request.identity,
    service: service.name,
    promptTokens: generation?.promptTokens ?? 0,
    outputLimit: generation?.outputLimit ?? 0,
    lengthHint: generation?.lengthHint ?? 0,
    rank: ranks.fromPriorities(route.priority, accountPriority),
    account: account ?? '',
    ...(route.longestPause > 0 && { pauseLimit: route.longestPause }),
    ...(dataCentres !== undefined && { dataCentres }),
  };
}

/**
 * Fingerprint by which the coordinator recognizes repeated attempts of a caller at the same generation.
 *
 * Two callers that send identical requests share a fingerprint; the coordinator then treats one as a retry of the other.
 *
 * @param routed - the request with its route
 * @example
 * ```ts
 * const fingerprint = generationAttributes.retryFingerprintOf(routed);
 * ```
 */
export function retryFingerprintOf(routed: exchangeContext.RoutedRequest): string {
  const { request, route, account = '' } = routed;
  const { promptTokens, outputLimit, lengthHint, prompt } = request.generation ?? EMPTY_DEMAND;
  const parts = [account, route.name, request.path, prompt, promptTokens, outputLimit, lengthHint];
  return rendezvousHashing.hash(parts.join(' ')).toString(36);
}
