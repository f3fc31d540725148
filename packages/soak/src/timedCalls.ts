/**
 * Calls of one caller each, on connections of their own, with the time that they take.
 */
import * as http from 'node:http';

import * as platform from 'kumquatfront-platform';

const { headers } = platform.httpNames;

/** One call. */
export interface TimedCall {
  readonly host: string;
  readonly port: number;
  /** Route of `clients.configurationText`. */
  readonly route: string;
  readonly attempt: string;
  /** Time left that the call states, in milliseconds; the caller leaves after as much time without a byte. */
  readonly timeLeft: number;
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
export function send({
  host,
  port,
  route,
  attempt,
  timeLeft,
  pauseAfterRead,
  longest,
}: TimedCall): Promise<TimedResult> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    const finish = (status: number, isComplete: boolean): void => {
      clearTimeout(timer);
      resolve({ status, isComplete, milliseconds: performance.now() - startedAt });
    };
    const request = http.request({
      ...{ host, port, method: 'POST', path: `/${route}/x`, agent: false, timeout: timeLeft },
      headers: {
        Host: 'soak.example',
        [headers.attempt]: attempt,
        [headers.timeLeft]: String(timeLeft),
        Authorization: 'Token key',
      },
    });
    request.on('timeout', () => request.destroy());
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
    request.end('x');
  });
}
