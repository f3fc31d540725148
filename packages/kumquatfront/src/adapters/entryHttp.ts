/**
 * HTTP API of an entry for callers and upstreams.
 */
import type * as http from 'node:http';

import type * as heldRequests from '../callerBounds/heldRequests.js';
import * as upstreamUpdateParser from '../directory/upstreamUpdateParser.js';
import type * as slowReaders from '../entryLoad/slowReaders.js';
import type * as entryNode from '../entryNode/entryNode.js';
import type * as entryTypes from '../entryNode/types.js';
import * as refusals from '../entryNode/refusals.js';
import * as wholeBody from '../client/wholeBody.js';
import * as failures from '../kernel/failures.js';
import type * as responseMemory from '../relay/responseMemory.js';
import * as trafficResolver from '../selectors/trafficResolver.js';
import type * as streams from '../streams/types.js';
import * as boundedServer from './boundedServer.js';
import * as httpMessages from './httpMessages.js';
import * as peerAuthentication from './peerAuthentication.js';
import * as generationResponses from './generationResponses.js';
import * as requestsAfterPause from './requestsAfterPause.js';

const GENERATION_PATHS: readonly string[] = ['/v1/completions', '/v1/chat/completions'];
const SERVICE_PATH = /^\/v1\/services\/([A-Za-z0-9._-]{1,63})(\/.*)?$/;
const REQUEST_PATH = /^\/v1\/requests\/([A-Za-z0-9]{1,64})$/;

/** State of the process that decides about requests. */
export interface ProcessState extends requestsAfterPause.PauseOptions {
  /** Whether a new request must be refused because the heap is nearly full; asked once for each. */
  readonly refusesNew?: () => boolean;
}

/** What this process holds of answers. */
export interface HeldAnswers {
  /** Answers that are held until they are complete. */
  readonly responses: responseMemory.ResponseMemory;
  /** Streams that callers have not read. */
  readonly readers: slowReaders.SlowReaders;
}

interface EntryApi extends HeldAnswers {
  readonly entry: entryNode.EntryNode;
  readonly state: ProcessState;
}

/**
 * Creates the HTTP server of an entry.
 *
 * @param entry - the entry that handles the requests
 * @param state - the log, the last pause of this process, and whether its heap is nearly full
 * @param requests - requests held at this process
 * @param answers - what is held of answers
 * @returns the server, not yet listening
 * @example
 * ```ts
 * entryHttp.createServer(settings, entry, { log, recentPause }, requests, { responses, readers }).listen(8080);
 * ```
 */
export function createServer(
  settings: entryTypes.EntrySettings,
  entry: entryNode.EntryNode,
  state: ProcessState,
  requests: heldRequests.HeldRequests,
  answers: HeldAnswers,
): http.Server {
  const api: EntryApi = { entry, state, ...answers };
  const bounded = { listener: 'callers', requests, http: httpMessages.serverOptions };
  return boundedServer.create(bounded, (request, response, connection) => {
    const served: httpMessages.ServedRequest = { incoming: request, outgoing: response, connection };
    const url = new URL(request.url ?? '/', 'http://entry');
    if (request.method === 'GET' && url.pathname === '/v1/entries') {
      sendAddresses(settings, entry, response);
    } else if (request.method === 'POST' && url.pathname === '/v1/announcements') {
      handleAnnouncement(settings, entry, served);
    } else if (request.method === 'POST' && GENERATION_PATHS.includes(url.pathname)) {
      generate(api, url.pathname, served);
    } else if (request.method === 'GET' && REQUEST_PATH.test(url.pathname)) {
      resume(api, url, request, response);
    } else if (SERVICE_PATH.test(url.pathname)) {
      callService(api, url, served);
    } else if (request.method === 'GET' && url.pathname === '/v1/status') {
      sendStatus(entry, request, response);
    } else {
      const remedy = 'See docs/http.md for the paths.';
      httpMessages.sendFailure(response, failures.create('notFound', `There is no ${url.pathname}.`, remedy));
    }
  });
}

function sendAddresses(
  settings: entryTypes.EntrySettings,
  entry: entryNode.EntryNode,
  response: http.ServerResponse,
): void {
  const seconds = Math.floor(settings.addressLife / 1000);
  const cacheControl = `max-age=${seconds}`;
  httpMessages.sendJson(response, 200, { entries: entry.addresses() }, { 'cache-control': cacheControl });
}

function isUpstream(settings: entryTypes.EntrySettings, request: http.IncomingMessage): boolean {
  const hash = trafficResolver.hashKey(httpMessages.bearerKey(request));
  return peerAuthentication.timingSafeEqual(hash, settings.upstreamKeyHash);
}

function handleAnnouncement(
  settings: entryTypes.EntrySettings,
  entry: entryNode.EntryNode,
  served: httpMessages.ServedRequest,
): void {
  const { incoming: request, outgoing: response } = served;
  // An unauthenticated announcement would route callers' prompts to an untrusted process.
  if (!isUpstream(settings, request)) {
    const remedy = 'Announce with the upstream key of this cluster.';
    httpMessages.sendFailure(
      response,
      failures.create('unauthorized', 'The upstream key is not known.', remedy),
    );
    return;
  }
  httpMessages.readBody(served, (body) => {
    const update = body.andThen(upstreamUpdateParser.parse);
    if (update.err) {
      httpMessages.sendFailure(response, update.val);
      return;
    }
    entry.applyUpdate(update.val);
    httpMessages.sendJson(response, 200, { entries: entry.addresses() });
  });
}

function sendStatus(
  entry: entryNode.EntryNode,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  if (entry.services.find('resolver').account(httpMessages.bearerKey(request)) === undefined) {
    const remedy = 'Send the key of a client account.';
    httpMessages.sendFailure(
      response,
      failures.create('unauthorized', 'The bearer key is not known.', remedy),
    );
    return;
  }
  httpMessages.sendJson(response, 200, entry.presence());
}

/** Refuses a request while the heap is nearly full, and closes its connection, so that a retry reaches another entry. */
function refuseNearHeapLimit({ entry, state }: EntryApi, response: http.ServerResponse): boolean {
  if (state.refusesNew?.() !== true) {
    return false;
  }
  response.shouldKeepAlive = false;
  httpMessages.sendRefusal(response, refusals.nearHeapLimit(entry.requests.otherEntries()));
  return true;
}

/** Reads the body of a caller's request, and continues while the caller waits. */
function readCallerBody(
  api: EntryApi,
  served: httpMessages.ServedRequest,
  done: httpMessages.BodyCallback,
): void {
  if (refuseNearHeapLimit(api, served.outgoing)) {
    return;
  }
  httpMessages.readBody(served, (body) => {
    requestsAfterPause.whileCallerWaits(api.state, served.incoming, () => {
      if (!refuseNearHeapLimit(api, served.outgoing)) {
        done(body);
      }
    });
  });
}

function generate(api: EntryApi, path: string, served: httpMessages.ServedRequest): void {
  const { incoming: request, outgoing: response } = served;
  readCallerBody(api, served, (text) => {
    const body = text.andThen(httpMessages.parseObject);
    if (body.err) {
      const { message, remedy } = body.val;
      httpMessages.sendRefusal(response, { kind: 'invalid', status: 400, message, remedy });
      return;
    }
    const streaming = body.val.stream === true;
    const answer = streaming ? createStream(api, response) : createWholeAnswer(api, response, path);
    const handle = api.entry.requests.generate(
      {
        bearerKey: httpMessages.bearerKey(request),
        labelsHeader: httpMessages.header(request, 'kumquatfront-labels'),
        path,
        body: body.val,
        acceptsRestart: !streaming || httpMessages.header(request, 'kumquatfront-accept') === 'restart',
      },
      answer.caller,
    );
    attachStreamHandle(response, answer, handle);
  });
}

/** The answer to a request for a generation. */
interface GenerationAnswer {
  readonly caller: streams.GenerationCaller;
  /** Connects the answer with its generation. */
  readonly attach: (handle: streams.StreamHandle) => void;
}

function createStream(api: EntryApi, response: http.ServerResponse): GenerationAnswer {
  const caller = new generationResponses.EventStreamResponse(response);
  const attach = ({ requestId }: streams.StreamHandle): void => {
    caller.track(api.readers, requestId);
  };
  return { caller, attach };
}

function createWholeAnswer(api: EntryApi, response: http.ServerResponse, path: string): GenerationAnswer {
  const caller = new generationResponses.BufferedJsonResponse(response, path, api.responses);
  const attach = (handle: streams.StreamHandle): void => {
    caller.onGivenUp = (reason) => {
      handle.giveUpAnswer(reason);
    };
  };
  return { caller, attach };
}

function attachStreamHandle(
  response: http.ServerResponse,
  { attach }: GenerationAnswer,
  handle: streams.StreamHandle,
): void {
  attach(handle);
  response.on('drain', () => {
    handle.onDrain();
  });
  response.on('close', () => {
    handle.onCallerDisconnect();
  });
}

function resume(api: EntryApi, url: URL, request: http.IncomingMessage, response: http.ServerResponse): void {
  requestsAfterPause.whileCallerWaits(api.state, request, () => {
    if (refuseNearHeapLimit(api, response)) {
      return;
    }
    const answer = createStream(api, response);
    const handle = api.entry.requests.resume(
      {
        bearerKey: httpMessages.bearerKey(request),
        labelsHeader: undefined,
        requestId: REQUEST_PATH.exec(url.pathname)?.[1] ?? '',
        token: httpMessages.header(request, 'last-event-id') ?? '',
      },
      answer.caller,
    );
    attachStreamHandle(response, answer, handle);
  });
}

function callService(api: EntryApi, url: URL, served: httpMessages.ServedRequest): void {
  const { incoming: request, outgoing: response } = served;
  const [, service = '', path = '/'] = SERVICE_PATH.exec(url.pathname) ?? [];
  readCallerBody(api, served, (body) => {
    if (body.err) {
      httpMessages.sendFailure(response, body.val);
      return;
    }
    api.entry.requests.callService(
      {
        bearerKey: httpMessages.bearerKey(request),
        labelsHeader: httpMessages.header(request, 'kumquatfront-labels'),
        service,
        method: request.method ?? 'GET',
        path: path + url.search,
        contentType: httpMessages.header(request, 'content-type') ?? 'application/json',
        body: body.val,
        idempotencyKey: httpMessages.header(request, 'idempotency-key'),
      },
      {
        respond: (answer, replayed) => {
          response.setHeader('content-type', answer.contentType);
          response.setHeader('idempotency-replayed', String(replayed));
          const length = Buffer.byteLength(answer.body);
          if (answer.endsWithConnection === true) {
            // No more is claimed than is known: only the connection ends this answer, as it ended that of the service.
            response.shouldKeepAlive = false;
            response.useChunkedEncodingByDefault = false;
            // A caller that reads this header can tell the end of this entry from that of the answer.
            response.setHeader(wholeBody.RECEIVED_HEADER, length);
          } else if (length > 0) {
            // Not where there may be no body: a length would state that of an answer to another method.
            response.setHeader('content-length', length);
          }
          response.writeHead(answer.status);
          response.end(answer.body);
        },
        refuse: (refusal) => {
          httpMessages.sendRefusal(response, refusal);
        },
      },
    );
  });
}
