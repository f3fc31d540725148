/**
 * Log summary of a finished stream: its placement attributes and the timing that its caller observed.
 */
import type * as ports from '../kernel/ports.js';
import type * as placementTypes from '../placement/types.js';
import type * as exchangeContext from './exchangeContext.js';
import type * as streamDelivery from './streamDelivery.js';

/** Counters of a stream exchange. */
export interface StreamCounts {
  /** Number of output tokens. */
  readonly produced: number;
  /** Number of sends to upstreams. */
  readonly sends: number;
  /** Number of resumptions from a memory copy. */
  readonly moves: number;
}

/**
 * Log fields that summarize a stream.
 *
 * @param attributes - its placement attributes; undefined if it needs no placement
 * @param delivery - the caller side of the stream
 * @example
 * ```ts
 * log.info('requestEnded', { outcome, ...streamLogSummary.fieldsFor(routed, attributes, delivery, counts) });
 * ```
 */
export function fieldsFor(
  routed: exchangeContext.RoutedRequest,
  attributes: placementTypes.GenerationAttributes | undefined,
  delivery: streamDelivery.StreamDelivery,
  counts: StreamCounts,
): ports.LogFields {
  const { callerTimeout, arrivedAt } = routed.request;
  const { produced, sends, moves } = counts;
  const { lastEvent, firstEventAt, framing } = delivery;
  return {
    rank: attributes?.rank,
    patience: callerTimeout,
    promptTokens: attributes?.promptTokens,
    outputLimit: attributes?.outputLimit,
    lengthHint: attributes?.lengthHint,
    produced,
    sends,
    moves,
    lastEvent,
    framing,
    firstEvent: firstEventAt === undefined ? undefined : Math.round(firstEventAt - arrivedAt),
    longestPause: Math.round(delivery.longestPause),
  };
}
