/**
 * Calls of one caller each, on connections of their own, with the time that they take.
 */
import * as crypto from 'node:crypto';

import * as callRequest from './callRequest.js';
import * as smallSystem from './smallSystem.js';

/** One call. */
export interface TimedCall extends callRequest.CallRequest {
  /** Time for which the caller reads nothing after each piece, in milliseconds. */
  readonly pauseAfterRead?: number;
  /** Time after which the caller leaves in any case, in milliseconds: one that pauses does not see that its connection has ended. */
  readonly longest?: number;
}

/** What a caller got. */
export interface TimedResult {
  /** 0 if no head was received. */
  readonly status: number;
  /** Whether the framing of the answer marked it as complete. */
  readonly isComplete: boolean;
  readonly milliseconds: number;
}

/**
 * Sends a call and reads its answer.
 *
 * @example
 * ```ts
 * const { status } = await timedCalls.send({ host, port, route: 'payment', attempt: 'one', timeLeft: 3_000 });
 * ```
 */
export function send({ pauseAfterRead, longest, ...call }: TimedCall): Promise<TimedResult> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    const finish = (status: number, isComplete: boolean): void => {
      clearTimeout(timer);
      resolve({ status, isComplete, milliseconds: performance.now() - startedAt });
    };
    const request = callRequest.send(call);
    if (longest !== undefined) {
      timer = setTimeout(() => {
        request.destroy();
        finish(0, false);
      }, longest);
    }
    request.on('error', () => {
      finish(0, false);
    });
    request.on('response', (response) => {
      response.on('data', () => {
        if (pauseAfterRead !== undefined) {
          response.pause();
          setTimeout(() => response.resume(), pauseAfterRead);
        }
      });
      response.on('error', () => undefined);
      response.on('close', () => {
        finish(response.statusCode ?? 0, response.complete);
      });
    });
  });
}

/**
 * Waits until a call is answered whole, with status 200.
 *
 * @example
 * ```ts
 * await timedCalls.untilServed({ host, port, route: 'fragile', timeLeft: 6_000 });
 * ```
 */
export function untilServed(call: Omit<TimedCall, 'attempt'>): Promise<void> {
  return smallSystem.until(async () => {
    const { status, isComplete } = await send({ ...call, attempt: crypto.randomUUID() });
    return isComplete && status === 200;
  });
}
