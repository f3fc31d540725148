/**
 * HTTP server of the simulated engine: OpenAI-compatible streams, resume, cancel and orders.
 */
import * as http from 'node:http';

import * as kumquatfront from 'kumquatfront';

import * as requestBody from '../requestBody.js';
import * as responseFraming from '../responseFraming.js';
import * as engineModel from './engineModel.js';
import * as orderReceiver from './orderReceiver.js';
import * as requestParser from './requestParser.js';
import type * as types from './types.js';

const GENERATION_PATH = /^\/v1\/generations\/([^/]+)$/;

/** Streams a generation to an HTTP response as server-sent events. */
class ResponseReader implements types.EngineReader {
  private readonly response: http.ServerResponse;
  private readonly isChat: boolean;
  private readonly onBufferFull: () => void;

  constructor(response: http.ServerResponse, isChat: boolean, onBufferFull: () => void) {
    this.response = response;
    this.isChat = isChat;
    this.onBufferFull = onBufferFull;
  }

  token(generation: string, index: number): void {
    const text = engineModel.tokenText(generation, index);
    const choice = this.isChat ? { index: 0, delta: { content: text } } : { index: 0, text };
    const chunk = {
      id: generation,
      object: this.isChat ? 'chat.completion.chunk' : 'text_completion',
      created: 0,
      model: 'stand-in',
      choices: [{ ...choice, finish_reason: null }],
    };
    if (!this.response.write(`id: ${generation}:${index}\ndata: ${JSON.stringify(chunk)}\n\n`)) {
      this.onBufferFull();
    }
  }

  ended(generation: string, count: number): void {
    this.response.end(`id: ${generation}:${count}\ndata: [DONE]\n\n`);
  }
}

/** Options of the engine server. */
export interface EngineHttpOptions {
  readonly model: engineModel.EngineModel;
  readonly orderReceiver: orderReceiver.OrderReceiver;
}

/**
 * Creates the server of a simulated engine. `GET /stand-in/counts` returns its counters.
 *
 * @param options - the engine model and its order receiver
 * @returns the server, not yet listening
 * @example
 * ```ts
 * engineHttp.createServer({ model, orderReceiver }).listen(0, '127.0.0.1');
 * ```
 */
export function createServer(options: EngineHttpOptions): http.Server {
  return http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://engine');
    const generation = decodeURIComponent(GENERATION_PATH.exec(url.pathname)?.[1] ?? '');
    if (request.method === 'POST' && url.pathname === '/v1/orders') {
      handleOrder(options.orderReceiver, request, response);
    } else if (request.method === 'GET' && url.pathname === '/v1/orders') {
      kumquatfront.httpMessages.sendJson(response, 200, options.orderReceiver.latestReceipt());
    } else if (request.method === 'GET' && url.pathname === '/stand-in/counts') {
      kumquatfront.httpMessages.sendJson(response, 200, options.model.counts);
    } else if (request.method === 'POST') {
      startGeneration(options.model, url.pathname, request, response);
    } else if (request.method === 'GET' && generation !== '') {
      resumeGeneration(options.model, generation, Number(url.searchParams.get('from')), response);
    } else if (request.method === 'DELETE' && generation !== '') {
      options.model.cancel(generation, url.searchParams.get('ifUnread') === 'true');
      response.end();
    } else {
      response.writeHead(404).end();
    }
  });
}

function handleOrder(
  receiver: orderReceiver.OrderReceiver,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  requestBody.read(request, (text) => {
    const order = JSON.parse(text.unwrapOr('{}')) as { fencingNumber: number; target: string };
    const accepted = receiver.accept(order.fencingNumber, order.target);
    kumquatfront.httpMessages.sendJson(response, accepted ? 200 : 409, receiver.latestReceipt());
  });
}

const framings = new responseFraming.FramingRotation();

function openStream(response: http.ServerResponse): void {
  framings.apply(response);
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  response.flushHeaders();
}

function createReader(
  model: engineModel.EngineModel,
  generation: string,
  isChat: boolean,
  response: http.ServerResponse,
): types.EngineReader {
  const reader = new ResponseReader(response, isChat, () => {
    model.setPaused(generation, reader, true);
  });
  response.on('drain', () => {
    model.setPaused(generation, reader, false);
  });
  response.on('close', () => {
    model.detach(generation, reader);
  });
  return reader;
}

function startGeneration(
  model: engineModel.EngineModel,
  path: string,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  requestBody.read(request, (text) => {
    const generation = String(request.headers['x-generation-id']);
    const priority = Number(request.headers['x-priority']);
    const engineRequest = requestParser.parse({ generation, priority, body: text.unwrapOr('{}') });
    openStream(response);
    model.start(engineRequest, createReader(model, generation, path.includes('chat'), response));
  });
}

function resumeGeneration(
  model: engineModel.EngineModel,
  generation: string,
  fromIndex: number,
  response: http.ServerResponse,
): void {
  if (!model.hasGeneration(generation)) {
    response.writeHead(404).end();
    return;
  }
  openStream(response);
  model.attach(generation, fromIndex, createReader(model, generation, false, response));
}
