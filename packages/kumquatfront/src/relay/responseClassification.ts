/**
 * Classifies upstream responses and failures: forward to the caller, retry on another upstream, or treat as invalid.
 */
import type * as types from './types.js';

/**
 * - `notRun`: the request did not run and may be sent to another upstream.
 * - `garbled`: the response is invalid; whether the request ran is unknown.
 * - `answer`: the response can be forwarded to the caller.
 */
export type ResponseClass = 'notRun' | 'garbled' | 'answer';

/** Statuses that callers take as permission to retry. An upstream may send them after it ran the request. */
const RETRYABLE_STATUSES = new Set([408, 421, 429, 503]);

const MISDIRECTED = 421;

/**
 * Checks whether a request reached another process than the upstream that it was meant for.
 *
 * @param head - the head of the response
 * @returns true if another incarnation, or another service, has taken the address
 * @example
 * ```ts
 * if (responseClassification.isMisdirected(head)) removeUpstream(instance);
 * ```
 */
export function isMisdirected({ status }: types.ResponseHead): boolean {
  return status === MISDIRECTED;
}

/**
 * Checks whether a failure proves that the upstream was sent no byte of the request.
 *
 * @returns true for connections that were not established, and requests that were kept back or cannot be encoded
 * @example
 * ```ts
 * responseClassification.wasNeverSent('notSent'); // true
 * ```
 */
export function wasNeverSent(failure: types.ExchangeFailure | 'timeout'): failure is 'notSent' | 'withheld' {
  return failure === 'notSent' || failure === 'withheld';
}

/**
 * Classifies a response by its head.
 *
 * Failure: a caller receives a retryable status for a non-idempotent request that may have run, and sends it again.
 * Such a status is forwarded only if the request is idempotent.
 *
 * @param head - the head of the response
 * @param repeatable - true if the request is safe to run more than once
 * @returns the class of the response
 * @example
 * ```ts
 * if (responseClassification.classify(head, false) === 'notRun') sendNext();
 * ```
 */
export function classify(head: types.ResponseHead, repeatable: boolean): ResponseClass {
  if (head.notRun || isMisdirected(head)) {
    return 'notRun';
  }
  if (!head.matchesRequest) {
    return 'garbled';
  }
  if (RETRYABLE_STATUSES.has(head.status) && !repeatable) {
    return 'garbled';
  }
  const success = head.status < 300;
  return success && !head.signed ? 'garbled' : 'answer';
}
