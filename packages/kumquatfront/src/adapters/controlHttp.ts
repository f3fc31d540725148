/**
 * The HTTP front of a control replica, for operators. A replica that does not lead passes a change on to
 * the leader, so that operators may use any address.
 */
import * as http from 'node:http';

import type * as agreedState from '../agreedState/types.js';
import type * as configuration from '../configuration/types.js';
import type * as controlNode from '../controlNode/controlNode.js';
import * as methods from '../controlNode/methods.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as trafficResolver from '../selectors/trafficResolver.js';
import * as httpAnswers from './httpAnswers.js';
import * as peerAuthentication from './peerAuthentication.js';

/** What the front is made from. */
export interface ControlHttpOptions {
  readonly node: controlNode.ControlNode;
  readonly peers: ports.PeerTransport;
  /** SHA-256 of the operators' bearer key. */
  readonly operatorKeyHash: string;
  readonly control: readonly string[];
}

const OBJECT_PATH = /^\/v1\/configuration\/([A-Za-z]+)(?:\/([A-Za-z0-9._-]{1,63}))?$/;
const EVACUATION_PATH = /^\/v1\/evacuations\/([^/]{1,200})$/;
const FORWARD_TIMEOUT = 5_000;
const STATUS_TIMEOUT = 1_000;

/**
 * Creates the server.
 *
 * @param options - the replica and the operators' key
 * @returns the server, not yet listening
 * @example
 * ```ts
 * controlHttp.createServer(options).listen(7300, '10.0.0.2');
 * ```
 */
export function createServer(options: ControlHttpOptions): http.Server {
  return http.createServer(httpAnswers.serverOptions, (request, response) => {
    const hash = trafficResolver.hashKey(httpAnswers.bearerKey(request));
    if (!peerAuthentication.isSame(hash, options.operatorKeyHash)) {
      const remedy = 'Send the operators key in the Authorization header.';
      httpAnswers.sendFailure(
        response,
        failures.create('unauthorized', 'The operator key is not known.', remedy),
      );
      return;
    }
    route(options, request, response);
  });
}

function route(
  options: ControlHttpOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const url = new URL(request.url ?? '/', 'http://control');
  const [, kind, name] = OBJECT_PATH.exec(url.pathname) ?? [];
  const [, dataCentre] = EVACUATION_PATH.exec(url.pathname) ?? [];
  if (request.method === 'GET' && url.pathname === '/v1/status') {
    sendStatus(options, response);
  } else if (request.method === 'GET' && url.pathname === '/v1/burn') {
    sendBurn(options, response);
  } else if (request.method === 'POST' && url.pathname === '/v1/drains') {
    drainEntry(options, request, response);
  } else if (request.method === 'POST' && url.pathname === '/v1/orders') {
    placeOrder(options, request, response);
  } else if ((request.method === 'PUT' || request.method === 'DELETE') && dataCentre !== undefined) {
    const type = request.method === 'PUT' ? 'evacuate' : 'restore';
    orderDataCentre(options, { type, dataCentre }, response);
  } else if (request.method === 'GET' && kind !== undefined) {
    finish(response, options.node.read(kind, name), (objects) => ({ objects }));
  } else if (
    (request.method === 'PUT' || request.method === 'DELETE') &&
    kind !== undefined &&
    name !== undefined
  ) {
    change(options, kind, name, request, response);
  } else {
    const remedy = 'See docs/http.md for the paths.';
    httpAnswers.sendFailure(response, failures.create('notFound', `There is no ${url.pathname}.`, remedy));
  }
}

function finish<Value>(
  response: http.ServerResponse,
  result: results.Result<Value, failures.Failure>,
  toBody: (value: Value) => unknown,
): void {
  if (result.err) {
    httpAnswers.sendFailure(response, result.val);
  } else {
    httpAnswers.sendJson(response, 200, toBody(result.val));
  }
}

function parseChange(
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

function change(
  options: ControlHttpOptions,
  kind: string,
  name: string,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  httpAnswers.readBody(request, (text) => {
    const command = text
      .andThen(httpAnswers.parseObject)
      .andThen((body) => parseChange(kind, name, request.method === 'DELETE', body));
    if (command.err) {
      httpAnswers.sendFailure(response, command.val);
      return;
    }
    options.node.configure(command.val, (result) => {
      forwardToLeader(options, methods.methods.configure, command.val, result, (final) => {
        sendChangeAnswer(response, final);
      });
    });
  });
}

/** Passes a call on where this replica does not lead; the leader's answer is final. */
function forwardToLeader(
  options: ControlHttpOptions,
  method: string,
  parameters: unknown,
  result: results.Result<unknown, failures.Failure>,
  done: ports.Reply,
): void {
  const leader = result.err && result.val.kind === 'notLeader' ? result.val.detail?.leader : undefined;
  if (typeof leader !== 'string') {
    done(result);
    return;
  }
  options.peers.request(leader, method, parameters, FORWARD_TIMEOUT, done);
}

function sendChangeAnswer(
  response: http.ServerResponse,
  result: results.Result<unknown, failures.Failure>,
): void {
  if (result.err) {
    httpAnswers.sendFailure(response, result.val);
    return;
  }
  const answer = result.val as agreedState.ConfigureAnswer;
  if (answer.accepted) {
    httpAnswers.sendJson(response, 200, answer);
  } else {
    httpAnswers.sendFailure(response, answer.failure);
  }
}

function placeOrder(
  options: ControlHttpOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  httpAnswers.readBody(request, (text) => {
    const body = text.andThen(httpAnswers.parseObject).andThen(parseOrder);
    if (body.err) {
      httpAnswers.sendFailure(response, body.val);
      return;
    }
    options.node.services.find('replica').propose(body.val, (result) => {
      forwardToLeader(options, methods.methods.order, body.val, result, (final) => {
        finish(response, final, (order) => order);
      });
    });
  });
}

function orderDataCentre(
  options: ControlHttpOptions,
  command: agreedState.DataCentreCommand,
  response: http.ServerResponse,
): void {
  options.node.orderDataCentre(command, (result) => {
    forwardToLeader(options, methods.methods.evacuate, command, result, (final) => {
      finish(response, final, (evacuations) => evacuations);
    });
  });
}

function parseOrder(
  body: Record<string, unknown>,
): results.Result<agreedState.OrderCommand, failures.Failure> {
  const { orderId, upstream, action, target } = body;
  const known = action === 'loadModel' || action === 'loadAdapter' || action === 'changeRole';
  if (typeof orderId !== 'string' || typeof upstream !== 'string' || typeof target !== 'string' || !known) {
    const remedy = 'Send orderId, upstream, target, and an action of loadModel, loadAdapter or changeRole.';
    return results.Err(failures.create('badInput', 'The order is not complete.', remedy));
  }
  return results.Ok({ type: 'order', orderId, upstream, order: { action, target } });
}

/** Asks all addresses and calls back once with what answered. */
function askAll(
  options: ControlHttpOptions,
  addresses: readonly string[],
  method: string,
  done: (answers: readonly unknown[], silent: readonly string[]) => void,
): void {
  const answers: unknown[] = [];
  const silent: string[] = [];
  let open = addresses.length;
  if (open === 0) {
    done(answers, silent);
  }
  for (const address of addresses) {
    options.peers.request(address, method, null, STATUS_TIMEOUT, (result) => {
      if (result.ok) {
        answers.push(result.val);
      } else {
        silent.push(address);
      }
      open -= 1;
      if (open === 0) {
        done(answers, silent);
      }
    });
  }
}

/** Gathers the status of every replica: each knows only the entries that pulled from it. */
function gatherStatus(
  options: ControlHttpOptions,
  done: (replicas: readonly methods.ControlStatus[], silent: readonly string[]) => void,
): void {
  askAll(options, options.control, methods.methods.status, (answers, silent) => {
    done(answers as readonly methods.ControlStatus[], silent);
  });
}

function sendStatus(options: ControlHttpOptions, response: http.ServerResponse): void {
  gatherStatus(options, (replicas, silent) => {
    httpAnswers.sendJson(response, 200, { replicas, silent });
  });
}

/** Peer addresses of the entries that some replica has heard from, by name. */
function entriesOf(replicas: readonly methods.ControlStatus[]): ReadonlyMap<string, string> {
  return new Map(
    replicas.flatMap((replica) => replica.entries.map((entry) => [entry.name, entry.peerAddress])),
  );
}

function sendBurn(options: ControlHttpOptions, response: http.ServerResponse): void {
  gatherStatus(options, (replicas) => {
    const addresses = [...new Set(entriesOf(replicas).values())];
    askAll(options, addresses, methods.methods.entryBurn, (counts, silent) => {
      httpAnswers.sendJson(response, 200, { counts, silent });
    });
  });
}

function drainEntry(
  options: ControlHttpOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  httpAnswers.readBody(request, (text) => {
    const body = text.andThen(httpAnswers.parseObject);
    const name = body.ok && typeof body.val.entry === 'string' ? body.val.entry : '';
    gatherStatus(options, (replicas) => {
      const address = entriesOf(replicas).get(name);
      if (address === undefined) {
        const remedy = '`kumquatfront status` lists the entries.';
        httpAnswers.sendFailure(
          response,
          failures.create('notFound', `There is no entry "${name}".`, remedy),
        );
        return;
      }
      options.peers.request(address, methods.methods.entryDrain, null, STATUS_TIMEOUT, (result) => {
        finish(response, result, () => ({ entry: name, drains: true }));
      });
    });
  });
}
