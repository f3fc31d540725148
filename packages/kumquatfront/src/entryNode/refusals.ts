/**
 * Refusals of an entry before a request is sent to an upstream; no part of the request has been run.
 */
import * as heapShedding from '../heldMemory/heapShedding.js';
import type * as streams from '../streams/types.js';

/** The caller's key is not known. */
export const unknownBearerKey: streams.Refusal = {
  kind: 'invalid',
  status: 401,
  message: 'The bearer key is not known.',
  remedy: 'Send the key of a configured client account in the Authorization header.',
};

/** No selector matches. */
export const noRoute: streams.Refusal = {
  kind: 'invalid',
  status: 404,
  message: 'No selector matches this request.',
  remedy: 'Check the labels and the model; an operator can add a selector.',
};

/** Characters of an idempotency key, which control keeps twice, for a day: 20,000 of 8,000 took 334 MB of heap. */
const MAXIMUM_KEY_LENGTH = 255;

const idempotencyKeyRequired: streams.Refusal = {
  kind: 'invalid',
  status: 400,
  message: 'This call is not idempotent and was not run.',
  remedy: 'Send it with an Idempotency-Key header that is unique for this action.',
};

const idempotencyKeyTooLong: streams.Refusal = {
  kind: 'invalid',
  status: 400,
  message: `The Idempotency-Key has more than ${MAXIMUM_KEY_LENGTH} characters; the call was not run.`,
  remedy: 'Send it with a shorter key.',
};

/**
 * Checks the idempotency key of a call that is not idempotent.
 *
 * @returns the refusal of a call without a key, or with one that is too long to be kept; undefined if the key is sound
 * @example
 * ```ts
 * refusals.forIdempotencyKey(request.idempotencyKey);
 * ```
 */
export function forIdempotencyKey(key: string | undefined): streams.Refusal | undefined {
  if (key === undefined) {
    return idempotencyKeyRequired;
  }
  return key.length > MAXIMUM_KEY_LENGTH ? idempotencyKeyTooLong : undefined;
}

/**
 * The entry has no configuration yet.
 *
 * @param entries - addresses of other entries
 * @returns the refusal
 * @example
 * ```ts
 * caller.refuse(refusals.notReady(otherEntries));
 * ```
 */
export function notReady(entries: readonly string[]): streams.Refusal {
  return {
    kind: 'notRun',
    status: 503,
    message: 'This entry has not received its configuration yet.',
    remedy: 'Use another entry, or retry after the given delay.',
    retryAfter: 1_000,
    entries,
  };
}

/**
 * The entry is partitioned from control and most entries, while other entries probably are not.
 *
 * @param entries - addresses of other entries
 * @returns the refusal
 * @example
 * ```ts
 * caller.refuse(refusals.stale(otherEntries));
 * ```
 */
export function stale(entries: readonly string[]): streams.Refusal {
  return {
    kind: 'notRun',
    status: 503,
    message: 'This entry cannot reach control or most of the other entries.',
    remedy: 'Use another entry, or retry after the given delay.',
    retryAfter: 5_000,
    entries,
  };
}

/**
 * The heap of the entry is nearly full.
 *
 * @param entries - addresses of other entries
 * @returns the refusal
 * @example
 * ```ts
 * caller.refuse(refusals.nearHeapLimit(otherEntries));
 * ```
 */
export function nearHeapLimit(entries: readonly string[]): streams.Refusal {
  return {
    kind: 'notRun',
    status: 503,
    message: 'The memory of this entry is nearly full.',
    remedy: 'Use another entry, or retry after the given delay.',
    retryAfter: heapShedding.RETRY_DELAY,
    entries,
  };
}

/**
 * The request is invalid.
 *
 * @param message - what is wrong
 * @param remedy - what to do
 * @example
 * ```ts
 * caller.refuse(refusals.invalid('The body has no prompt.', 'Add "prompt".'));
 * ```
 */
export function invalid(message: string, remedy: string): streams.Refusal {
  return { kind: 'invalid', status: 400, message, remedy };
}
