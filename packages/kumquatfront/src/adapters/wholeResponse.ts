/**
 * Requests to upstreams whose responses are read as a whole, within bounds on size and time.
 */
import * as byteCollector from '../buffers/byteCollector.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as heldBytes from '../relay/heldBytes.js';
import type * as responseMemory from '../relay/responseMemory.js';
import type * as relayTypes from '../relay/types.js';
import * as singleUseConnection from './singleUseConnection.js';

/** A response with its body. */
export interface WholeResponse {
  readonly status: number;
  readonly headers: readonly relayTypes.Header[];
  readonly framing: relayTypes.BodyFraming;
  readonly body: Buffer;
}

/** Bounds on a response. */
export interface ResponseBounds {
  /** Bytes of the body; the memory that holds them exceeds them by less than a block of the collector. */
  readonly maximumBytes: number;
  /** Time from the request to the end of the response. */
  readonly timeout: ports.Milliseconds;
  /** Counts the response with all others that are held, and bounds them together. */
  readonly responses?: responseMemory.ResponseMemory | undefined;
}

/** Why there is no response. */
export interface ResponseFailure {
  readonly kind: relayTypes.ExchangeFailure | 'timeout';
  readonly reason: string;
}

/**
 * Sends a request and reads the whole response.
 *
 * @param done - called once, after `send` has returned
 * @example
 * ```ts
 * wholeResponse.send(request, { maximumBytes: 65_536, timeout: 2_500 }, scheduler, (response) => response.ok);
 * ```
 */
export function send(
  request: singleUseConnection.OutgoingRequest,
  { maximumBytes, timeout, responses }: ResponseBounds,
  scheduler: ports.Scheduler,
  done: (result: results.Result<WholeResponse, ResponseFailure>) => void,
): void {
  const collected =
    responses === undefined
      ? new byteCollector.ByteCollector()
      : new heldBytes.HeldBytes(responses, (reason) => {
          fail('garbled', reason);
        });
  let head: Omit<WholeResponse, 'body'> = { status: 0, headers: [], framing: 'length' };
  const fail = (kind: ResponseFailure['kind'], reason: string): void => {
    cancelTimeout();
    collected.clear();
    exchange.cancel();
    done(results.Err({ kind, reason }));
  };
  const cancelTimeout = scheduler.after(timeout, () => {
    fail('timeout', 'response timed out');
  });
  const exchange = singleUseConnection.send(request, scheduler, {
    head: (status, headers, framing) => {
      head = { status, headers, framing };
    },
    data: (bytes) => {
      if (collected.size + bytes.length > maximumBytes) {
        fail('garbled', `the response has more than ${maximumBytes} bytes`);
      } else {
        collected.append(bytes);
      }
    },
    end: () => {
      cancelTimeout();
      done(results.Ok({ ...head, body: collected.takeContent() }));
    },
    failed: fail,
  });
}
