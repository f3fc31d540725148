/**
 * Responses of the own interface to callers in HTTP/1.0, which has no chunks: without a length, a crash of the entry would end a part of them
 * like the whole.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import type * as entryTypes from '../entryNode/types.js';
import type * as streams from '../streams/types.js';
import * as entryHttpTestHarness from './entryHttpTestHarness.js';

const LOCAL = '127.0.0.1';

/** More bytes than characters. */
const TEXT = 'Gr\u00fc\u00dfe';

const noop = (): void => undefined;

/** Starts the server of an entry; a service answers with the status that is its path. */
async function startEntry(context: test.TestContext): Promise<number> {
  const generate = (
    { body }: entryTypes.GenerationRequest,
    caller: streams.GenerationCaller,
  ): streams.StreamHandle => {
    if (body.model === 'none') {
      caller.refuse({ kind: 'notRun', status: 503, message: TEXT, remedy: '' });
    } else {
      caller.sendToken('', 0, JSON.stringify({ choices: [{ text: TEXT }] }));
      caller.complete(1);
    }
    return { requestId: 'r', onDrain: noop, onCallerDisconnect: noop, giveUpAnswer: noop };
  };
  const callService = ({ path, method }: entryTypes.ServiceRequest, caller: streams.ServiceCaller): void => {
    const status = Number(path.slice(1));
    const body = method === 'HEAD' || status === 204 ? '' : TEXT;
    caller.respond({ status, contentType: 'text/plain', body }, false);
  };
  return entryHttpTestHarness.start(context, { requests: { generate, callService }, addresses: () => [] });
}

/** Sends a request in HTTP/1.0; returns the status, the length that is stated, and the number of bytes of the body. */
function call(
  port: number,
  request: string,
  body: string,
): Promise<{ status: number; length: number | undefined; bytes: number }> {
  return new Promise((resolve) => {
    const socket = net.connect(port, LOCAL);
    const chunks: Buffer[] = [];
    socket.on('data', (bytes) => chunks.push(bytes));
    socket.on('close', () => {
      const text = Buffer.concat(chunks).toString('latin1');
      const headLength = text.indexOf('\r\n\r\n') + 4;
      const [, length] = /^content-length: (\d+)/im.exec(text.slice(0, headLength)) ?? [];
      const stated = length === undefined ? undefined : Number(length);
      resolve({ status: Number(text.split(' ')[1]), length: stated, bytes: text.length - headLength });
    });
    socket.write(`${request} HTTP/1.0\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
  });
}

// Guards against a part of a response that such a caller takes for the whole when the entry ends.
void test.test('each response with a body states its length to a caller in HTTP/1.0', async (context) => {
  const port = await startEntry(context);
  const requests: readonly (readonly [string, string, number])[] = [
    ['POST /v1/services/s/200', '{}', 200],
    ['POST /v1/completions', '{"model":"m"}', 200],
    ['POST /v1/completions', '{"model":"none"}', 503],
    ['GET /v1/entries', '', 200],
    ['GET /none', '', 404],
  ];
  for (const [request, body, expected] of requests) {
    const { status, length, bytes } = await call(port, request, body);
    assert.deepEqual([status, length], [expected, bytes], request);
    assert.ok(bytes > 0, request);
  }
});

// Guards against a length of a body that is not there, for which a caller would wait.
void test.test('a service answer that has no body states no length', async (context) => {
  const port = await startEntry(context);
  const none = { length: undefined, bytes: 0 };
  assert.deepEqual(await call(port, 'HEAD /v1/services/s/200', ''), { status: 200, ...none });
  assert.deepEqual(await call(port, 'POST /v1/services/s/204', '{}'), { status: 204, ...none });
});
