/**
 * Order of callbacks in the event loop.
 */

/**
 * Calls back once all data that had arrived when this was called has been read: after the next poll phase.
 *
 * @example
 * ```ts
 * eventLoop.afterNextPoll(() => respondUnless(socket.readableEnded));
 * ```
 */
export function afterNextPoll(run: () => void): void {
  // The first callback runs in the check phase that follows the current poll phase.
  setImmediate(() => {
    setImmediate(run);
  });
}
