/**
 * The HTTP adapter of the stand-in engine: OpenAI-style streams, resume, cancel and orders.
 */
import * as http from 'node:http';

import * as kumquatfront from 'kumquatfront';

import * as engineModel from './engineModel.js';
import * as orderBook from './orderBook.js';
import * as orderReader from './orderReader.js';
import type * as types from './types.js';

const GENERATION_PATH = /^\/v1\/generations\/([^/]+)$/;

/** Writes a generation to a response. */
class ResponseReader implements types.EngineReader {
  private readonly response: http.ServerResponse;
  private readonly chat: boolean;
  private readonly onFull: () => void;

  constructor(response: http.ServerResponse, chat: boolean, onFull: () => void) {
    this.response = response;
    this.chat = chat;
    this.onFull = onFull;
  }

  token(generation: string, index: number): void {
    const text = engineModel.tokenText(generation, index);
    const choice = this.chat ? { index: 0, delta: { content: text } } : { index: 0, text };
    const chunk = {
      id: generation,
      object: this.chat ? 'chat.completion.chunk' : 'text_completion',
      created: 0,
      model: 'stand-in',
      choices: [{ ...choice, finish_reason: null }],
    };
    if (!this.response.write(`id: ${generation}:${index}\ndata: ${JSON.stringify(chunk)}\n\n`)) {
      this.onFull();
    }
  }

  ended(generation: string, count: number): void {
    this.response.end(`id: ${generation}:${count}\ndata: [DONE]\n\n`);
  }
}

/** What the adapter serves. */
export interface EngineHttpOptions {
  readonly model: engineModel.EngineModel;
  readonly orders: orderBook.OrderBook;
}

/**
 * Creates the server of a stand-in engine. `GET /stand-in/counts` tells what it counted.
 *
 * @param options - the model and its order book
 * @returns the server, not yet listening
 * @example
 * ```ts
 * engineHttp.createServer({ model, orders }).listen(0, '127.0.0.1');
 * ```
 */
export function createServer(options: EngineHttpOptions): http.Server {
  return http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://engine');
    const generation = decodeURIComponent(GENERATION_PATH.exec(url.pathname)?.[1] ?? '');
    if (request.method === 'POST' && url.pathname === '/v1/orders') {
      takeOrder(options.orders, request, response);
    } else if (request.method === 'GET' && url.pathname === '/v1/orders') {
      kumquatfront.httpAnswers.sendJson(response, 200, options.orders.receipt());
    } else if (request.method === 'GET' && url.pathname === '/stand-in/counts') {
      kumquatfront.httpAnswers.sendJson(response, 200, options.model.counts);
    } else if (request.method === 'POST') {
      start(options.model, url.pathname, request, response);
    } else if (request.method === 'GET' && generation !== '') {
      resume(options.model, generation, Number(url.searchParams.get('from')), response);
    } else if (request.method === 'DELETE' && generation !== '') {
      options.model.cancel(generation, url.searchParams.get('ifUnread') === 'true');
      response.end();
    } else {
      response.writeHead(404).end();
    }
  });
}

function takeOrder(
  orders: orderBook.OrderBook,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  kumquatfront.httpAnswers.readBody(request, (text) => {
    const order = JSON.parse(text.unwrapOr('{}')) as { fencingNumber: number; target: string };
    const taken = orders.take(order.fencingNumber, order.target);
    kumquatfront.httpAnswers.sendJson(response, taken ? 200 : 409, orders.receipt());
  });
}

function open(response: http.ServerResponse): void {
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  response.flushHeaders();
}

function createReader(
  model: engineModel.EngineModel,
  generation: string,
  chat: boolean,
  response: http.ServerResponse,
): types.EngineReader {
  const reader = new ResponseReader(response, chat, () => {
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

function start(
  model: engineModel.EngineModel,
  path: string,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  kumquatfront.httpAnswers.readBody(request, (text) => {
    const generation = String(request.headers['x-generation-id']);
    const priority = Number(request.headers['x-priority']);
    const order = orderReader.read({ generation, priority, body: text.unwrapOr('{}') });
    open(response);
    model.start(order, createReader(model, generation, path.includes('chat'), response));
  });
}

function resume(
  model: engineModel.EngineModel,
  generation: string,
  fromIndex: number,
  response: http.ServerResponse,
): void {
  if (!model.knows(generation)) {
    response.writeHead(404).end();
    return;
  }
  open(response);
  model.attach(generation, fromIndex, createReader(model, generation, false, response));
}
