/**
 * Builds the call with which a stream begins or goes on at an upstream.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as originTypes from '../streamOrigins/types.js';
import type * as exchangeContext from './exchangeContext.js';
import type * as types from './types.js';

/** State of the stream that its next upstream needs. */
export interface StreamState {
  /** True if the stream runs on an engine, which serves urgent requests first. */
  readonly isGeneration: boolean;
  /** Last event that the caller has; undefined before the first. */
  readonly lastEvent: string | undefined;
  /** Copy of its memory to resume from; undefined for a new run. */
  readonly copy: types.MemoryCopy | undefined;
  readonly origin: originTypes.StreamOrigin | undefined;
}

/**
 * Builds a call.
 *
 * @param now - current time, from which the time left is counted
 * @returns the call of the stream at the instance
 * @example
 * ```ts
 * const call = streamCall.create(routed, instance, timers.now(), { isGeneration, lastEvent, copy, origin });
 * ```
 */
export function create(
  routed: exchangeContext.RoutedRequest,
  instance: instanceView.Instance,
  now: ports.Milliseconds,
  { isGeneration, lastEvent, copy, origin }: StreamState,
): types.UpstreamCall {
  const { request, account, upstreamPriority, deadline, dataCentres } = routed;
  return {
    ...{ request, instance, account, lastEvent, copy, origin, dataCentres },
    timeLeft: deadline - now,
    isStream: true,
    urgency: isGeneration ? upstreamPriority : undefined,
  };
}
