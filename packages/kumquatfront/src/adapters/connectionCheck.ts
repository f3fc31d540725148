/**
 * Tries whether anything listens at an address, and sends nothing.
 */
import * as net from 'node:net';

import type * as ports from '../kernel/ports.js';
import type * as relayTypes from '../relay/types.js';

/** Without any answer for this long nothing is known: far above a round trip, as for the connections of requests. */
const CHECK_TIMEOUT: ports.Milliseconds = 400;

/**
 * Tries to connect.
 *
 * @param address - `ip:port`
 * @param scheduler - for the timeout
 * @param done - told once: `refused` only where the address says that nothing listens there
 * @example
 * ```ts
 * connectionCheck.run('10.1.0.7:8080', scheduler, (sign) => log.info('checked', { sign }));
 * ```
 */
export function run(
  address: string,
  scheduler: ports.Scheduler,
  done: (sign: relayTypes.ConnectionSign) => void,
): void {
  const colon = address.lastIndexOf(':');
  const socket = net.connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
  let settled = false;
  const settle = (sign: relayTypes.ConnectionSign): void => {
    if (!settled) {
      settled = true;
      cancelTimeout();
      done(sign);
    }
    socket.destroy();
  };
  const cancelTimeout = scheduler.after(CHECK_TIMEOUT, () => {
    settle('unknown');
  });
  socket.on('connect', () => {
    settle('accepted');
  });
  // A busy instance may reset a connection that it has no room for; only a refusal says that nobody is there.
  socket.on('error', (error: NodeJS.ErrnoException) => {
    settle(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown');
  });
}
