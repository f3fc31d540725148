/**
 * HTTP clients for engines, plain services and orders. Each request has a connection of its own, and is never retried here; the
 * relays decide about retries.
 */
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as ports from '../kernel/ports.js';
import * as orderReceipt from '../orders/orderReceipt.js';
import type * as orders from '../orders/types.js';
import * as responseClassification from '../relay/responseClassification.js';
import type * as responseMemory from '../relay/responseMemory.js';
import type * as relayTypes from '../relay/types.js';
import type * as streams from '../streams/types.js';
import * as connectionCheck from './connectionCheck.js';
import * as generationConnection from './generationConnection.js';
import type * as singleUseConnection from './singleUseConnection.js';
import * as systemTime from './systemTime.js';
import * as upstreamRequest from './upstreamRequest.js';
import * as wholeResponse from './wholeResponse.js';

const { scheduler } = systemTime;

/** Bytes of an answer of a service, and of a receipt. */
const MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Bounds on the response to a cancellation, which nobody needs. */
const CANCELLATION_BOUNDS: wholeResponse.ResponseBounds = { maximumBytes: 65_536, timeout: 5_000 };

/**
 * Creates the HTTP port to engines. An engine streams events with the id `generation:index` and ends with the
 * data `[DONE]`, whose id carries the token count. A request has the headers `X-Generation-Id` and `X-Priority`;
 * `GET /v1/generations/{id}?from=index` resumes a generation and `DELETE /v1/generations/{id}` cancels it.
 *
 * @param responses - bounds what is held of all responses together
 * @example
 * ```ts
 * const ports = { engines: httpUpstreams.createGenerationPort() };
 * ```
 */
export function createGenerationPort(responses?: responseMemory.ResponseMemory): streams.GenerationPort {
  return {
    start: (target, request, listener) => {
      const headers = {
        'content-type': 'application/json',
        'x-generation-id': request.generation,
        'x-priority': String(request.priority),
      };
      const { path, body } = request;
      const outgoing = upstreamRequest.create(target.address, { method: 'POST', path, headers, body });
      return generationConnection.open(outgoing, listener, responses);
    },
    resume: (target, generation, fromIndex, listener) => {
      const path = `/v1/generations/${encodeURIComponent(generation)}?from=${fromIndex}`;
      return generationConnection.open(
        upstreamRequest.create(target.address, { method: 'GET', path }),
        listener,
        responses,
      );
    },
    cancel: (target, generation, ifUnread) => {
      const path = `/v1/generations/${encodeURIComponent(generation)}?ifUnread=${String(ifUnread)}`;
      const request = upstreamRequest.create(target.address, { method: 'DELETE', path });
      // Best effort: a lost cancellation wastes engine work but does not affect the caller.
      wholeResponse.send(request, { ...CANCELLATION_BOUNDS, responses }, scheduler, () => undefined);
    },
  };
}

/**
 * Creates the check whether an upstream accepts connections at its address.
 *
 * @param scheduler - runs the timeout of the check
 * @returns the check
 * @example
 * ```ts
 * const ports = { checkUpstream: httpUpstreams.createConnectionCheck(systemTime.scheduler) };
 * ```
 */
export function createConnectionCheck(scheduler: ports.Scheduler): streams.CheckUpstream {
  return (address, done) => {
    connectionCheck.run(new URL(address).host, scheduler, done);
  };
}

/** Time for a process that exits to close its listening port after its connections. */
const EXIT_TIME: ports.Milliseconds = 3;

/** Checks whether the process still listens that a response without a length or chunks came from: a crash ends it in the same way. */
function confirmEnd(address: string, done: (isListening: boolean) => void): void {
  scheduler.after(EXIT_TIME, () => {
    connectionCheck.run(new URL(address).host, scheduler, (result) => {
      done(result !== 'refused');
    });
  });
}

function contentTypeOf(headers: readonly relayTypes.Header[]): string {
  const values = headers.filter(([name]) => name.toLowerCase() === 'content-type').map(([, value]) => value);
  return values.length === 1 ? (values[0] ?? '') : 'application/octet-stream';
}

function serviceFailure(kind: wholeResponse.ResponseFailure['kind']): 'neverSent' | 'broken' | 'timeout' {
  if (responseClassification.wasNeverSent(kind)) {
    return 'neverSent';
  }
  return kind === 'timeout' ? 'timeout' : 'broken';
}

function encodeCall(
  target: streams.UpstreamTarget,
  call: streams.ServiceCall,
): singleUseConnection.OutgoingRequest {
  const { method, path, contentType, idempotencyKey } = call;
  const headers = {
    'content-type': contentType,
    ...(idempotencyKey !== '' && { 'idempotency-key': idempotencyKey }),
  };
  const body = method === 'GET' || method === 'HEAD' ? undefined : call.body;
  return upstreamRequest.create(target.address, { method, path, headers, body });
}

/**
 * Creates the HTTP port to plain services.
 *
 * @param responses - bounds what is held of all responses together
 * @returns the port
 * @example
 * ```ts
 * const ports = { services: httpUpstreams.createServicePort() };
 * ```
 */
export function createServicePort(responses?: responseMemory.ResponseMemory): streams.ServicePort {
  return {
    call: (target, call, timeout, listener) => {
      const bounds = { maximumBytes: MAXIMUM_RESPONSE_BYTES, timeout, responses };
      wholeResponse.send(encodeCall(target, call), bounds, scheduler, (result) => {
        if (result.err) {
          listener.onFailed(serviceFailure(result.val.kind));
          return;
        }
        const { status, headers, framing, body } = result.val;
        const answer = { status, contentType: contentTypeOf(headers), body: body.toString('utf8') };
        if (framing !== 'connection') {
          listener.onAnswer(answer);
          return;
        }
        confirmEnd(target.address, (isListening) => {
          if (isListening) {
            listener.onAnswer({ ...answer, endsWithConnection: true });
          } else {
            listener.onFailed('broken');
          }
        });
      });
    },
  };
}

/**
 * Creates the HTTP port for orders. It sends `POST /v1/orders` with the fencing number, then reads the applied
 * order with `GET /v1/orders`, since some upstreams accept any fencing number.
 *
 * @param responses - bounds what is held of all responses together
 * @returns the port
 * @example
 * ```ts
 * const ports = { orders: httpUpstreams.createOrderPort() };
 * ```
 */
export function createOrderPort(responses?: responseMemory.ResponseMemory): orders.OrderPort {
  return {
    send: (order, address, timeout, done) => {
      const body = JSON.stringify({
        ...order.order,
        orderId: order.orderId,
        fencingNumber: order.fencingNumber,
      });
      const headers = { 'content-type': 'application/json' };
      const bounds = { maximumBytes: MAXIMUM_RESPONSE_BYTES, timeout, responses };
      const refuse = (reason: string): void => {
        const remedy = 'The order is retried automatically.';
        const message = `${order.upstream} did not confirm the order: ${reason}.`;
        done(results.Err(failures.create('unreachable', message, remedy)));
      };
      const path = '/v1/orders';
      const post = upstreamRequest.create(address, { method: 'POST', path, headers, body });
      const startedAt = systemTime.clock.now();
      wholeResponse.send(post, bounds, scheduler, (posted) => {
        if (posted.err) {
          refuse(posted.val.reason);
          return;
        }
        const left = Math.max(0, timeout - (systemTime.clock.now() - startedAt));
        const read = upstreamRequest.create(address, { method: 'GET', path });
        wholeResponse.send(read, { ...bounds, timeout: left }, scheduler, (receipt) => {
          if (receipt.err) {
            refuse(receipt.val.reason);
            return;
          }
          const parsed = orderReceipt.parse(receipt.val.body.toString('utf8'));
          if (parsed === undefined) {
            refuse('its receipt cannot be read');
          } else {
            done(results.Ok(parsed));
          }
        });
      });
    },
  };
}
