/**
 * Claims that entries send to the leader in batches, and their settlements.
 */
import type * as agreedTypes from '../agreedState/types.js';
import type * as replica from '../consensus/replica.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as methods from './methods.js';

/**
 * Registers the RPC handlers for claims.
 *
 * @example
 * ```ts
 * claimRequests.serve(peers, replica);
 * ```
 */
export function serve(peers: ports.PeerTransport, own: replica.Replica): void {
  peers.serve(methods.methods.claims, (parameters, reply) => {
    proposeClaims(own, parameters as methods.ClaimsRequest, reply);
  });
  peers.serve(methods.methods.settleClaim, (parameters, reply) => {
    own.propose(parameters, reply);
  });
}

/** Proposes all claims of a batch; replies once all are applied, or with the first failure. */
function proposeClaims(own: replica.Replica, request: methods.ClaimsRequest, reply: ports.Reply): void {
  const answers: agreedTypes.ClaimAnswer[] = [];
  let pending = request.claims.length;
  let hasFailed = false;
  for (const [position, claim] of request.claims.entries()) {
    own.propose(claim, (result) => {
      pending -= 1;
      if (result.err) {
        if (!hasFailed) {
          hasFailed = true;
          reply(result);
        }
        return;
      }
      answers[position] = result.val as agreedTypes.ClaimAnswer;
      if (pending === 0 && !hasFailed) {
        reply(results.Ok({ answers }));
      }
    });
  }
}
