/**
 * Requests to one peer that wait for a response. The JSON-RPC client keeps a request until its response arrives, so that one that has
 * timed out is given a response in place of that of the peer; it ignores those that no request waits for.
 */
import * as jsonRpc from 'json-rpc-2.0';

import type * as heldMemoryTypes from '../heldMemory/types.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';

/** Code of a response whose data is a failure. */
export const FAILURE_CODE = -32_000;

/** Heap of a request until its response, in bytes: its timer, its promises and what its sender waits with. */
const HEAP_BYTES_PER_REQUEST = 1_900;

/** A request to a peer. */
export interface PeerRequest {
  readonly address: string;
  readonly method: string;
  readonly parameters: unknown;
  readonly timeout: ports.Milliseconds;
}

function isFailure(value: unknown): value is failures.Failure {
  return typeof value === 'object' && value !== null && 'kind' in value && 'remedy' in value;
}

/**
 * The failure of a request that could not be sent.
 *
 * @param address - address of the peer
 * @param reason - why, as part of a sentence
 * @example
 * ```ts
 * done(results.Err(peerRequests.unreachable('10.0.0.5:7200', 'the connection was closed')));
 * ```
 */
export function unreachable(address: string, reason: string): failures.Failure {
  const remedy = 'Check that the process is running and that both processes use the same cluster key.';
  return failures.create('unreachable', `The request to ${address} failed: ${reason}.`, remedy);
}

function timedOut(address: string): failures.Failure {
  const remedy = 'Retry the request or send it to another process.';
  return failures.create('timeout', `${address} did not answer in time.`, remedy);
}

function toResult(
  response: jsonRpc.JSONRPCResponse,
  address: string,
): results.Result<unknown, failures.Failure> {
  const result: unknown = response.result;
  if (response.error) {
    const data: unknown = response.error.data;
    return results.Err(isFailure(data) ? data : unreachable(address, response.error.message));
  }
  return result === undefined
    ? results.Err(unreachable(address, 'the response is empty'))
    : results.Ok(result);
}

/** Requests of one connection; see the module comment. */
export class PeerRequests {
  private readonly client: jsonRpc.JSONRPCClient;
  private lastId = 0;
  private waiting = 0;

  /**
   * @param scheduler - for timeouts
   * @param send - sends a message; throws if it cannot
   */
  constructor(
    private readonly scheduler: ports.Scheduler,
    send: (text: string) => void,
  ) {
    this.client = new jsonRpc.JSONRPCClient((payload: unknown) => {
      send(JSON.stringify(payload));
    });
  }

  /**
   * Sends a request.
   *
   * @param request - the request
   * @param done - called once, with the response or the failure
   * @example
   * ```ts
   * requests.send({ address, method: 'control.status', parameters: [], timeout: 1_000 }, done);
   * ```
   */
  send({ address, method, parameters, timeout }: PeerRequest, done: ports.Reply): void {
    this.lastId += 1;
    const id = this.lastId;
    this.waiting += 1;
    const cancel = this.scheduler.after(timeout, () => {
      const failure = timedOut(address);
      this.client.receive(jsonRpc.createJSONRPCErrorResponse(id, FAILURE_CODE, failure.message, failure));
    });
    const finish = (response: jsonRpc.JSONRPCResponse): void => {
      this.waiting -= 1;
      cancel();
      done(toResult(response, address));
    };
    void this.client.requestAdvanced(jsonRpc.createJSONRPCRequest(id, method, parameters)).then(finish);
  }

  /** Sends a message that has no response; one that cannot be sent is dropped. */
  notify(method: string, parameters: unknown): void {
    this.client.notify(method, parameters);
  }

  /** Passes on a message of the peer. */
  receive(message: unknown): void {
    this.client.receive(message as jsonRpc.JSONRPCResponse);
  }

  /** Fails all requests. */
  failAll(reason: string): void {
    this.client.rejectAllPendingRequests(reason);
  }

  /** Requests that wait for a response. */
  held(): Required<heldMemoryTypes.Held> {
    return { bytes: 0, pieces: this.waiting, heapBytes: this.waiting * HEAP_BYTES_PER_REQUEST };
  }
}
