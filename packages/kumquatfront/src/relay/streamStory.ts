/**
 * What the last log line of a stream tells besides its outcome: what decided where it ran, and how its caller saw it.
 */
import type * as ports from '../kernel/ports.js';
import type * as placementTypes from '../placement/types.js';
import type * as exchangeContext from './exchangeContext.js';
import type * as streamDelivery from './streamDelivery.js';

/** What its exchange counted. */
export interface StreamCounts {
  /** Output tokens. */
  readonly produced: number;
  /** Upstreams that were sent it. */
  readonly sends: number;
  /** Times that it went on from a copy. */
  readonly moves: number;
}

/**
 * The fields of the line.
 *
 * @param routed - the request
 * @param facts - what the coordinator was told of it; undefined where nothing is placed
 * @param delivery - what its caller got
 * @param counts - what its exchange counted
 * @returns the fields
 * @example
 * ```ts
 * log.info('requestEnded', { outcome, ...streamStory.of(routed, facts, delivery, counts) });
 * ```
 */
export function of(
  routed: exchangeContext.RoutedRequest,
  facts: placementTypes.GenerationFacts | undefined,
  delivery: streamDelivery.StreamDelivery,
  counts: StreamCounts,
): ports.LogFields {
  const { patience, arrivedAt } = routed.request;
  const { produced, sends, moves } = counts;
  const { lastEvent, firstEventAt } = delivery;
  return {
    rank: facts?.rank,
    patience,
    promptTokens: facts?.promptTokens,
    outputLimit: facts?.outputLimit,
    lengthHint: facts?.lengthHint,
    produced,
    sends,
    moves,
    lastEvent,
    firstEvent: firstEventAt === undefined ? undefined : Math.round(firstEventAt - arrivedAt),
    longestPause: Math.round(delivery.longestPause),
  };
}
