/**
 * Forwards calls that only the leader carries out.
 */
import type * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';

/** A call as the leader gets it. */
export interface ForwardedCall {
  readonly method: string;
  readonly parameters: unknown;
  readonly timeout: ports.Milliseconds;
}

/**
 * Forwards a call to the leader if this replica answered `notLeader`; otherwise returns its own result.
 *
 * @param result - what this replica answered
 * @example
 * ```ts
 * replica.propose(command, (result) => {
 *   leaderForwarding.forward(peers, { method, parameters: command, timeout: 5_000 }, result, done);
 * });
 * ```
 */
export function forward(
  peers: ports.PeerTransport,
  { method, parameters, timeout }: ForwardedCall,
  result: results.Result<unknown, failures.Failure>,
  done: ports.Reply,
): void {
  const leader = result.err && result.val.kind === 'notLeader' ? result.val.detail?.leader : undefined;
  if (typeof leader !== 'string') {
    done(result);
    return;
  }
  peers.request(leader, method, parameters, timeout, done);
}
