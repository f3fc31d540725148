/**
 * A caller that sends one request after another on a connection that it keeps open, as most callers do, and counts what it gets.
 */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';

import * as callRequest from './callRequest.js';

/** What a caller got. */
export interface KeptCounts {
  /** Complete answers with status 200. */
  answered: number;
  /** Complete answers with another status. */
  refused: number;
  /** Answers that began and did not end. */
  cut: number;
  /** Calls on a connection that was open before, which ended without a head. */
  lostKept: number;
  /** Calls on a new connection that ended without a head. */
  lostNew: number;
  /** Calls whose connection was refused. */
  unreachable: number;
}

/** Returns counts of no calls. */
export function none(): KeptCounts {
  return { answered: 0, refused: 0, cut: 0, lostKept: 0, lostNew: 0, unreachable: 0 };
}

/** Where a caller sends its calls. */
export interface KeptCall extends Pick<callRequest.CallRequest, 'host' | 'port' | 'route' | 'timeLeft'> {
  readonly agent: http.Agent;
}

function isRefused(error: Error): boolean {
  return 'code' in error && error.code === 'ECONNREFUSED';
}

/**
 * Sends a call and counts its result.
 *
 * @example
 * ```ts
 * const counts = keptCalls.none();
 * await keptCalls.send({ host, port, route: 'fragile', timeLeft: 3_000, agent }, counts);
 * ```
 */
export function send(call: KeptCall, counts: KeptCounts): Promise<void> {
  return new Promise((resolve) => {
    const finish = (result: keyof KeptCounts): void => {
      counts[result] += 1;
      resolve();
    };
    const request = callRequest.send({ ...call, attempt: crypto.randomUUID() });
    let hasHead = false;
    request.on('error', (error) => {
      if (!hasHead) {
        finish(isRefused(error) ? 'unreachable' : request.reusedSocket ? 'lostKept' : 'lostNew');
      }
    });
    request.on('response', (response) => {
      hasHead = true;
      response.resume();
      response.on('error', () => undefined);
      response.on('close', () => {
        finish(!response.complete ? 'cut' : response.statusCode === 200 ? 'answered' : 'refused');
      });
    });
  });
}
