/**
 * HTTP API of a control replica for operators. A replica that is not the leader forwards changes to the leader,
 * so operators can use the address of any replica.
 */
import type * as http from 'node:http';

import type * as agreedState from '../agreedState/types.js';
import type * as configuration from '../configuration/types.js';
import type * as heldRequests from '../callerBounds/heldRequests.js';
import type * as controlNode from '../controlNode/controlNode.js';
import * as leaderForwarding from '../controlNode/leaderForwarding.js';
import * as methods from '../controlNode/methods.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as dataCentreOrders from '../operatorOrders/dataCentreOrders.js';
import * as trafficResolver from '../selectors/trafficResolver.js';
import * as boundedServer from './boundedServer.js';
import * as callerConnections from './callerConnections.js';
import * as httpMessages from './httpMessages.js';
import * as peerAuthentication from './peerAuthentication.js';
import * as systemTime from './systemTime.js';

/** Options of the operator HTTP API. */
export interface ControlHttpOptions {
  readonly node: controlNode.ControlNode;
  readonly peers: ports.PeerTransport;
  /** SHA-256 hash of the operators' bearer key. */
  readonly operatorKeyHash: string;
  /** Peer addresses of all control replicas. */
  readonly controlAddresses: readonly string[];
  /** Requests held at this process. */
  readonly requests: heldRequests.HeldRequests;
}

interface ServerOptions extends ControlHttpOptions {
  readonly callers: callerConnections.CallerConnections;
}

const OBJECT_PATH = /^\/v1\/configuration\/([A-Za-z]+)(?:\/([A-Za-z0-9._-]{1,63}))?$/;
const EVACUATION_PATH = /^\/v1\/evacuations\/([^/]{1,200})$/;
const FORWARD_TIMEOUT = 5_000;
const STATUS_TIMEOUT = 1_000;

/**
 * Creates the HTTP server of a control replica.
 *
 * @param options - the control replica, the peer transport and the hash of the operators' key
 * @returns the server, not yet listening
 * @example
 * ```ts
 * controlHttp.createServer(options).listen(7300, '10.0.0.2');
 * ```
 */
export function createServer(options: ControlHttpOptions): http.Server {
  const replica = options.node.services.find('replica');
  const callers = new callerConnections.CallerConnections({
    ...systemTime,
    appliedIndex: () => replica.appliedIndex,
  });
  const bounded = { listener: 'operators', requests: options.requests, http: httpMessages.serverOptions };
  const server = boundedServer.create(bounded, (request, response, connection) => {
    const hash = trafficResolver.hashKey(httpMessages.bearerKey(request));
    if (!peerAuthentication.timingSafeEqual(hash, options.operatorKeyHash)) {
      const remedy = 'Send the operators key in the Authorization header.';
      httpMessages.sendFailure(
        response,
        failures.create('unauthorized', 'The operator key is not known.', remedy),
      );
      return;
    }
    route({ ...options, callers }, { incoming: request, outgoing: response, connection });
  });
  callers.track(server);
  return server;
}

function route(options: ServerOptions, served: httpMessages.ServedRequest): void {
  const { incoming: request, outgoing: response } = served;
  const url = new URL(request.url ?? '/', 'http://control');
  const [, kind, name] = OBJECT_PATH.exec(url.pathname) ?? [];
  const [, dataCentre] = EVACUATION_PATH.exec(url.pathname) ?? [];
  if (request.method === 'GET' && url.pathname === '/v1/status') {
    sendStatus(options, response);
  } else if (request.method === 'GET' && url.pathname === '/v1/burn') {
    sendBurn(options, response);
  } else if (request.method === 'GET' && url.pathname === '/v1/accounts') {
    sendAccounts(options, response);
  } else if (request.method === 'POST' && url.pathname === '/v1/drains') {
    whileCallerWaits(options, request, response, { order: 'drain' }, () => {
      drainEntry(options, served);
    });
  } else if (request.method === 'POST' && url.pathname === '/v1/orders') {
    whileCallerWaits(options, request, response, { order: 'upstreamOrder' }, () => {
      submitOrder(options, served);
    });
  } else if ((request.method === 'PUT' || request.method === 'DELETE') && dataCentre !== undefined) {
    const type = request.method === 'PUT' ? 'evacuate' : 'restore';
    evacuateOrRestore(options, { type, dataCentre }, request, response);
  } else if (request.method === 'GET' && kind !== undefined) {
    sendResult(response, options.node.readObjects(kind, name), (objects) => ({ objects }));
  } else if (
    (request.method === 'PUT' || request.method === 'DELETE') &&
    kind !== undefined &&
    name !== undefined
  ) {
    configureObject(options, kind, name, served);
  } else {
    const remedy = 'See docs/http.md for the paths.';
    httpMessages.sendFailure(response, failures.create('notFound', `There is no ${url.pathname}.`, remedy));
  }
}

/** Continues unless the caller has left, or the request may have waited while this process was paused. */
function whileCallerWaits(
  { node, callers }: ServerOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  order: ports.LogFields,
  carryOut: () => void,
): void {
  const caller = callers.callerOf(request, response);
  node.services.find('callerCheck').confirm(caller, order, 0, (confirmed) => {
    if (confirmed.err) {
      httpMessages.sendFailure(response, confirmed.val);
    } else {
      carryOut();
    }
  });
}

function sendResult<Value>(
  response: http.ServerResponse,
  result: results.Result<Value, failures.Failure>,
  toBody: (value: Value) => unknown,
): void {
  if (result.err) {
    httpMessages.sendFailure(response, result.val);
  } else {
    httpMessages.sendJson(response, 200, toBody(result.val));
  }
}

function parseConfigureCommand(
  kind: string,
  name: string,
  isDelete: boolean,
  body: Record<string, unknown>,
): results.Result<agreedState.ConfigureCommand, failures.Failure> {
  const { changeId, expectedVersion } = body;
  if (typeof changeId !== 'string' || changeId.length < 8 || changeId.length > 128) {
    const remedy =
      'Send a changeId of 8 to 128 characters that is unique for this change; resend with the same one.';
    return results.Err(failures.create('badInput', 'The change has no usable changeId.', remedy));
  }
  if (typeof expectedVersion !== 'number') {
    const remedy = 'Send the version that was read, or 0 where the object must not exist yet.';
    return results.Err(failures.create('badInput', 'The change has no expectedVersion.', remedy));
  }
  return results.Ok({
    type: 'configure',
    changeId,
    kind: kind as configuration.ConfigurationKind,
    name,
    expectedVersion,
    body: isDelete ? null : body.body,
  });
}

function configureObject(
  options: ControlHttpOptions,
  kind: string,
  name: string,
  served: httpMessages.ServedRequest,
): void {
  const { incoming: request, outgoing: response } = served;
  httpMessages.readBody(served, (text) => {
    const command = text
      .andThen(httpMessages.parseObject)
      .andThen((body) => parseConfigureCommand(kind, name, request.method === 'DELETE', body));
    if (command.err) {
      httpMessages.sendFailure(response, command.val);
      return;
    }
    options.node.configure(command.val, (result) => {
      const call = { method: methods.methods.configure, parameters: command.val, timeout: FORWARD_TIMEOUT };
      leaderForwarding.forward(options.peers, call, result, (final) => {
        sendConfigureAnswer(response, final);
      });
    });
  });
}

function sendConfigureAnswer(
  response: http.ServerResponse,
  result: results.Result<unknown, failures.Failure>,
): void {
  if (result.err) {
    httpMessages.sendFailure(response, result.val);
    return;
  }
  const answer = result.val as agreedState.ConfigureAnswer;
  if (answer.accepted) {
    httpMessages.sendJson(response, 200, answer);
  } else {
    httpMessages.sendFailure(response, answer.failure);
  }
}

function submitOrder(options: ControlHttpOptions, served: httpMessages.ServedRequest): void {
  const { outgoing: response } = served;
  httpMessages.readBody(served, (text) => {
    const body = text.andThen(httpMessages.parseObject).andThen(parseOrderCommand);
    if (body.err) {
      httpMessages.sendFailure(response, body.val);
      return;
    }
    options.node.services.find('replica').propose(body.val, (result) => {
      const call = { method: methods.methods.order, parameters: body.val, timeout: FORWARD_TIMEOUT };
      leaderForwarding.forward(options.peers, call, result, (final) => {
        sendResult(response, final, (order) => order);
      });
    });
  });
}

function evacuateOrRestore(
  options: ServerOptions,
  order: dataCentreOrders.DataCentreOrder,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  options.node.evacuateOrRestore(order, options.callers.callerOf(request, response), (result) => {
    sendResult(response, result, (evacuations) => evacuations);
  });
}

function parseOrderCommand(
  body: Record<string, unknown>,
): results.Result<agreedState.OrderCommand, failures.Failure> {
  const { orderId, upstream, action, target } = body;
  const isKnownAction = action === 'loadModel' || action === 'loadAdapter' || action === 'changeRole';
  if (
    typeof orderId !== 'string' ||
    typeof upstream !== 'string' ||
    typeof target !== 'string' ||
    !isKnownAction
  ) {
    const remedy = 'Send orderId, upstream, target, and an action of loadModel, loadAdapter or changeRole.';
    return results.Err(failures.create('badInput', 'The order is not complete.', remedy));
  }
  return results.Ok({ type: 'order', orderId, upstream, order: { action, target } });
}

/** Sends a request to all addresses and calls back once with the answers and the addresses that did not answer. */
function requestFromAll(
  options: ControlHttpOptions,
  addresses: readonly string[],
  method: string,
  done: (answers: readonly unknown[], unresponsive: readonly string[]) => void,
): void {
  const answers: unknown[] = [];
  const unresponsive: string[] = [];
  let remaining = addresses.length;
  if (remaining === 0) {
    done(answers, unresponsive);
  }
  for (const address of addresses) {
    options.peers.request(address, method, null, STATUS_TIMEOUT, (result) => {
      if (result.ok) {
        answers.push(result.val);
      } else {
        unresponsive.push(address);
      }
      remaining -= 1;
      if (remaining === 0) {
        done(answers, unresponsive);
      }
    });
  }
}

/** Collects the status of all replicas, since each lists only the entries that fetched updates from it. */
function collectStatus(
  options: ControlHttpOptions,
  done: (replicas: readonly methods.ControlStatus[], unresponsive: readonly string[]) => void,
): void {
  requestFromAll(options, options.controlAddresses, methods.methods.status, (answers, unresponsive) => {
    done(answers as readonly methods.ControlStatus[], unresponsive);
  });
}

function sendStatus(options: ControlHttpOptions, response: http.ServerResponse): void {
  collectStatus(options, (replicas, unresponsive) => {
    httpMessages.sendJson(response, 200, { replicas, silent: unresponsive });
  });
}

/** Collects the accounts of all replicas; only the placement coordinator knows any. */
function sendAccounts(options: ControlHttpOptions, response: http.ServerResponse): void {
  requestFromAll(options, options.controlAddresses, methods.methods.accounts, (answers, unresponsive) => {
    httpMessages.sendJson(response, 200, { accounts: answers.flat(), silent: unresponsive });
  });
}

/** Maps the names of all entries known to any replica to their peer addresses. */
function entryAddresses(replicas: readonly methods.ControlStatus[]): ReadonlyMap<string, string> {
  return new Map(
    replicas.flatMap((replica) => replica.entries.map((entry) => [entry.name, entry.peerAddress])),
  );
}

function sendBurn(options: ControlHttpOptions, response: http.ServerResponse): void {
  collectStatus(options, (replicas) => {
    const addresses = [...new Set(entryAddresses(replicas).values())];
    requestFromAll(options, addresses, methods.methods.entryBurn, (counts, unresponsive) => {
      httpMessages.sendJson(response, 200, { counts, silent: unresponsive });
    });
  });
}

function drainEntry(options: ControlHttpOptions, served: httpMessages.ServedRequest): void {
  const { outgoing: response } = served;
  httpMessages.readBody(served, (text) => {
    const body = text.andThen(httpMessages.parseObject);
    const name = body.ok && typeof body.val.entry === 'string' ? body.val.entry : '';
    collectStatus(options, (replicas) => {
      const address = entryAddresses(replicas).get(name);
      if (address === undefined) {
        const remedy = '`kumquatfront status` lists the entries.';
        httpMessages.sendFailure(
          response,
          failures.create('notFound', `There is no entry "${name}".`, remedy),
        );
        return;
      }
      options.peers.request(address, methods.methods.entryDrain, null, STATUS_TIMEOUT, (result) => {
        sendResult(response, result, () => ({ entry: name, drains: true }));
      });
    });
  });
}
