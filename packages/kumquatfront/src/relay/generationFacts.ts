/**
 * What the coordinator is told of a request for a generation.
 */
import * as ranks from '../placement/ranks.js';
import type * as placementTypes from '../placement/types.js';
import * as rendezvous from '../utils/rendezvous.js';
import type * as exchangeContext from './exchangeContext.js';

const NO_DEMAND = { promptTokens: 0, outputLimit: 0, lengthHint: 0, prompt: '' };

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
    rank: ranks.of(route.priority, accountPriority),
    account: account ?? '',
    ...(dataCentres !== undefined && { dataCentres }),
  };
}

/**
 * What one caller's attempts at the same generation have in common: everything that it says of it. Two callers
 * that say the same are told apart by nothing; one of them then counts as late too early, and waits for slack.
 *
 * @param routed - the request with its route
 * @returns a short text
 * @example
 * ```ts
 * const likeness = generationFacts.likenessOf(routed);
 * ```
 */
export function likenessOf(routed: exchangeContext.RoutedRequest): string {
  const { request, route, account = '' } = routed;
  const { promptTokens, outputLimit, lengthHint, prompt } = request.generation ?? NO_DEMAND;
  const said = [account, route.name, request.path, prompt, promptTokens, outputLimit, lengthHint];
  return rendezvous.hash(said.join(' ')).toString(36);
}
