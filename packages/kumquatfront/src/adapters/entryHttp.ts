/**
 * HTTP API of an entry for callers and upstreams.
 */
import * as http from 'node:http';

import * as newsParser from '../directory/newsParser.js';
import type * as entryNode from '../entryNode/entryNode.js';
import type * as entryTypes from '../entryNode/types.js';
import * as failures from '../kernel/failures.js';
import * as trafficResolver from '../selectors/trafficResolver.js';
import type * as streams from '../streams/types.js';
import * as httpAnswers from './httpAnswers.js';
import * as peerAuthentication from './peerAuthentication.js';
import * as generationResponses from './generationResponses.js';

const GENERATION_PATHS: readonly string[] = ['/v1/completions', '/v1/chat/completions'];
const SERVICE_PATH = /^\/v1\/services\/([A-Za-z0-9._-]{1,63})(\/.*)?$/;
const REQUEST_PATH = /^\/v1\/requests\/([A-Za-z0-9]{1,64})$/;

/**
 * Creates the HTTP server of an entry.
 *
 * @param settings - the entry's settings
 * @param entry - the entry that handles the requests
 * @returns the server, not yet listening
 * @example
 * ```ts
 * entryHttp.createServer(settings, entry).listen(8080, '10.0.0.5');
 * ```
 */
export function createServer(settings: entryTypes.EntrySettings, entry: entryNode.EntryNode): http.Server {
  return http.createServer(httpAnswers.serverOptions, (request, response) => {
    const url = new URL(request.url ?? '/', 'http://entry');
    if (request.method === 'GET' && url.pathname === '/v1/entries') {
      sendAddresses(settings, entry, response);
    } else if (request.method === 'POST' && url.pathname === '/v1/announcements') {
      handleAnnouncement(settings, entry, request, response);
    } else if (request.method === 'POST' && GENERATION_PATHS.includes(url.pathname)) {
      generate(entry, url.pathname, request, response);
    } else if (request.method === 'GET' && REQUEST_PATH.test(url.pathname)) {
      resume(entry, url, request, response);
    } else if (SERVICE_PATH.test(url.pathname)) {
      callService(entry, url, request, response);
    } else if (request.method === 'GET' && url.pathname === '/v1/status') {
      sendStatus(entry, request, response);
    } else {
      const remedy = 'See docs/http.md for the paths.';
      httpAnswers.sendFailure(response, failures.create('notFound', `There is no ${url.pathname}.`, remedy));
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
  httpAnswers.sendJson(response, 200, { entries: entry.addresses() }, { 'cache-control': cacheControl });
}

function isUpstream(settings: entryTypes.EntrySettings, request: http.IncomingMessage): boolean {
  const hash = trafficResolver.hashKey(httpAnswers.bearerKey(request));
  return peerAuthentication.timingSafeEqual(hash, settings.upstreamKeyHash);
}

function handleAnnouncement(
  settings: entryTypes.EntrySettings,
  entry: entryNode.EntryNode,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  // An unauthenticated announcement would route callers' prompts to an untrusted process.
  if (!isUpstream(settings, request)) {
    const remedy = 'Announce with the upstream key of this cluster.';
    httpAnswers.sendFailure(
      response,
      failures.create('unauthorized', 'The upstream key is not known.', remedy),
    );
    return;
  }
  httpAnswers.readBody(request, (body) => {
    const update = body.andThen(newsParser.parse);
    if (update.err) {
      httpAnswers.sendFailure(response, update.val);
      return;
    }
    entry.takeNews(update.val);
    httpAnswers.sendJson(response, 200, { entries: entry.addresses() });
  });
}

function sendStatus(
  entry: entryNode.EntryNode,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  if (entry.services.find('resolver').account(httpAnswers.bearerKey(request)) === undefined) {
    const remedy = 'Send the key of a client account.';
    httpAnswers.sendFailure(
      response,
      failures.create('unauthorized', 'The bearer key is not known.', remedy),
    );
    return;
  }
  httpAnswers.sendJson(response, 200, entry.presence());
}

function generate(
  entry: entryNode.EntryNode,
  path: string,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  httpAnswers.readBody(request, (text) => {
    const body = text.andThen(httpAnswers.parseObject);
    if (body.err) {
      const { message, remedy } = body.val;
      httpAnswers.sendRefusal(response, { kind: 'invalid', status: 400, message, remedy });
      return;
    }
    const streaming = body.val.stream === true;
    const answer = streaming
      ? new generationResponses.EventStreamResponse(response)
      : new generationResponses.BufferedJsonResponse(response, path);
    const handle = entry.requests.generate(
      {
        bearerKey: httpAnswers.bearerKey(request),
        labelsHeader: httpAnswers.header(request, 'kumquatfront-labels'),
        path,
        body: body.val,
        acceptsRestart: !streaming || httpAnswers.header(request, 'kumquatfront-accept') === 'restart',
      },
      answer,
    );
    attachStreamHandle(response, handle);
  });
}

function attachStreamHandle(response: http.ServerResponse, handle: streams.StreamHandle): void {
  response.on('drain', () => {
    handle.drained();
  });
  response.on('close', () => {
    handle.callerGone();
  });
}

function resume(
  entry: entryNode.EntryNode,
  url: URL,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const answer = new generationResponses.EventStreamResponse(response);
  const handle = entry.requests.resume(
    {
      bearerKey: httpAnswers.bearerKey(request),
      labelsHeader: undefined,
      requestId: REQUEST_PATH.exec(url.pathname)?.[1] ?? '',
      token: httpAnswers.header(request, 'last-event-id') ?? '',
    },
    answer,
  );
  attachStreamHandle(response, handle);
}

function callService(
  entry: entryNode.EntryNode,
  url: URL,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const [, service = '', path = '/'] = SERVICE_PATH.exec(url.pathname) ?? [];
  httpAnswers.readBody(request, (body) => {
    if (body.err) {
      httpAnswers.sendFailure(response, body.val);
      return;
    }
    entry.requests.call(
      {
        bearerKey: httpAnswers.bearerKey(request),
        labelsHeader: httpAnswers.header(request, 'kumquatfront-labels'),
        service,
        method: request.method ?? 'GET',
        path: path + url.search,
        contentType: httpAnswers.header(request, 'content-type') ?? 'application/json',
        body: body.val,
        idempotencyKey: httpAnswers.header(request, 'idempotency-key'),
      },
      {
        answered: (answer, replayed) => {
          const headers = { 'content-type': answer.contentType, 'idempotency-replayed': String(replayed) };
          response.writeHead(answer.status, headers);
          response.end(answer.body);
        },
        refused: (refusal) => {
          httpAnswers.sendRefusal(response, refusal);
        },
      },
    );
  });
}
