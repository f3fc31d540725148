/**
 * What the coordinator is told of a request for a generation.
 */
import type * as placementTypes from '../placement/types.js';
import type * as exchangeContext from './exchangeContext.js';

/**
 * Facts of a request; undefined where its service has no engines, so that nothing is placed.
 *
 * @param routed - the request with its route
 * @returns the facts
 * @example
 * ```ts
 * const facts = generationFacts.of(routed);
 * ```
 */
export function of(routed: exchangeContext.RoutedRequest): placementTypes.GenerationFacts | undefined {
  const { request, service, rank, account } = routed;
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
    rank,
    account: account ?? '',
  };
}
