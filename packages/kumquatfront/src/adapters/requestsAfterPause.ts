/**
 * Requests that an entry reads right after a pause of its process: their callers may have given up and sent them elsewhere.
 */
import type * as http from 'node:http';

import type * as ports from '../kernel/ports.js';
import * as eventLoop from './eventLoop.js';

/** Ports of {@link whileCallerWaits}. */
export interface PauseOptions {
  readonly log: ports.Log;
  /** The pause of this process that has just ended, in milliseconds; 0 if there was none. */
  readonly recentPause: () => ports.Milliseconds;
}

/**
 * Continues with a request unless its caller has left. After a pause the end of its connection may lie unread behind the
 * request; a call that is not idempotent must not run for nobody.
 *
 * @example
 * ```ts
 * requestsAfterPause.whileCallerWaits({ log, recentPause: () => pauses.recentPause() }, incoming, relay);
 * ```
 */
export function whileCallerWaits(
  { recentPause, log }: PauseOptions,
  { socket }: http.IncomingMessage,
  continueWith: () => void,
): void {
  const pause = recentPause();
  if (pause === 0) {
    continueWith();
    return;
  }
  eventLoop.afterNextPoll(() => {
    if (socket.destroyed || socket.readableEnded) {
      log.info('requestAbandoned', { caller: socket.remoteAddress, pause: Math.round(pause) });
      return;
    }
    continueWith();
  });
}
