/**
 * Asks the processes that may hold the origin of a stream. The first one that knows it decides.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as messages from './messages.js';
import type * as types from './types.js';

const TIMEOUT: ports.Milliseconds = 250;

/** Delay before the question is repeated; a copy that was on its way has arrived by then. */
const REPEAT_DELAY: ports.Milliseconds = 100;

const ROUNDS = 2;

/** Dependencies of {@link find}. */
export interface OriginLookupOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  /** Addresses to ask. */
  readonly addresses: () => readonly string[];
}

/**
 * Searches the origin of a stream.
 *
 * @param done - called once with the result, unless the search is cancelled
 * @returns cancels the search
 * @example
 * ```ts
 * const cancel = originLookup.find({ timers, peers, addresses }, key, (found) => resume(found));
 * ```
 */
export function find(
  options: OriginLookupOptions,
  key: types.StreamKey,
  done: (found: types.FoundOrigin) => void,
): ports.Cancel {
  const { timers, peers, addresses } = options;
  let isDone = false;
  const finish = (found: types.FoundOrigin): void => {
    if (!isDone) {
      isDone = true;
      done(found);
    }
  };
  const ask = (round: number): void => {
    const asked = addresses();
    let pending = asked.length;
    let areAllAnswered = pending > 0;
    const onAnswered = (): void => {
      if (pending > 0 || isDone) {
        return;
      }
      if (round < ROUNDS) {
        timers.after(REPEAT_DELAY, () => {
          ask(round + 1);
        });
      } else {
        finish({ state: areAllAnswered ? 'unknown' : 'unreachable' });
      }
    };
    for (const address of asked) {
      const request: messages.FindRequest = { key };
      peers.request(address, messages.methods.find, request, TIMEOUT, (result) => {
        pending -= 1;
        const origin = result.ok ? (result.val as messages.FindAnswer).origin : undefined;
        areAllAnswered &&= result.ok;
        if (origin !== undefined) {
          finish({ state: 'known', origin });
        }
        onAnswered();
      });
    }
    onAnswered();
  };
  ask(1);
  return () => {
    isDone = true;
  };
}
