/**
 * Checks whether a process listens at an address by opening a TCP connection, without sending any data.
 */
import * as net from 'node:net';

import type * as ports from '../kernel/ports.js';
import type * as relayTypes from '../relay/types.js';

/** The result is `unknown` if the connection is neither accepted nor refused within this time. */
const CHECK_TIMEOUT: ports.Milliseconds = 400;

/**
 * Opens a TCP connection to an address, reports the result and closes the connection.
 *
 * @param address - `ip:port`
 * @param done - called once; `refused` only if the connection was actively refused
 * @example
 * ```ts
 * connectionCheck.run('10.1.0.7:8080', scheduler, (result) => log.info('checked', { result }));
 * ```
 */
export function run(
  address: string,
  scheduler: ports.Scheduler,
  done: (result: relayTypes.ConnectionCheckResult) => void,
): void {
  const colon = address.lastIndexOf(':');
  let socket: net.Socket;
  try {
    socket = net.connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
  } catch {
    // `net.connect` throws for an address that cannot exist; nothing is known of what it was meant for.
    scheduler.after(0, () => {
      done('unknown');
    });
    return;
  }
  let settled = false;
  const settle = (result: relayTypes.ConnectionCheckResult): void => {
    if (!settled) {
      settled = true;
      cancelTimeout();
      done(result);
    }
    socket.destroy();
  };
  const cancelTimeout = scheduler.after(CHECK_TIMEOUT, () => {
    settle('unknown');
  });
  socket.on('connect', () => {
    settle('accepted');
  });
  // An overloaded instance may reset a connection; only ECONNREFUSED shows that no process listens.
  socket.on('error', (error: NodeJS.ErrnoException) => {
    settle(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown');
  });
}
