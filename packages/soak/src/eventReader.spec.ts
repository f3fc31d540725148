/**
 * Callers that read an answer to its end, and callers that leave it.
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as test from 'node:test';

import * as eventReader from './eventReader.js';

const EVENTS = 40;
const BODY = Array.from({ length: EVENTS }, (_none, index) => `id: ${index + 1}\n\n`).join('');

/** Reads an answer that arrives in one piece; the caller leaves after some events. */
async function play(events: number): Promise<readonly string[]> {
  const server = http.createServer((_request, response) => {
    response.writeHead(200, { 'content-length': BODY.length });
    response.end(BODY);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const seen: string[] = [];
  await new Promise<void>((resolve) => {
    const request = http.get({ host: '127.0.0.1', port, agent: false });
    request.on('close', resolve);
    request.on('response', (response) => {
      eventReader.read(request, response, {
        onEvent: (event) => seen.push(event) < events,
        onEnd: () => seen.push('end'),
      });
    });
  });
  server.close();
  return seen;
}

// Guards against a caller that leaves a stream, and is then told that what it has read was all of it.
void test.test('a caller that leaves an answer which has arrived whole sees no end of it', async () => {
  const seen = await play(29);
  assert.equal(seen.length, 29);
  assert.ok(!seen.includes('end'));
});

void test.test('a caller that stays sees all events and the end', async () => {
  const seen = await play(EVENTS + 1);
  assert.equal(seen.length, EVENTS + 1);
  assert.equal(seen.at(-1), 'end');
});
