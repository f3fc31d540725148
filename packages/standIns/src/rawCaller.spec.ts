/**
 * What a raw caller sends.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import * as rawCaller from './rawCaller.js';

const PAUSE = 3;

function blockEventLoop(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

// Guards against a request whose second part is sent first: timers of different lengths that are late fire in any order.
void test.test('the parts of a request are sent in order when the event loop is blocked', async (context) => {
  const received: string[] = [];
  const server = net.createServer((socket) => {
    let text = '';
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString();
      if (text.length === 2) {
        received.push(text);
        socket.end();
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await events.EventEmitter.once(server, 'listening');
  context.after(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  for (let count = 0; count < 10; count += 1) {
    const earlierTimer = timers.setTimeout(PAUSE);
    blockEventLoop(PAUSE - 1);
    await timers.setImmediate();
    const call = rawCaller.send({
      ...{ host: '127.0.0.1', port, parts: ['1', '2'], pause: PAUSE, timeout: 5_000 },
    });
    blockEventLoop(2 * PAUSE);
    await Promise.all([call, earlierTimer]);
  }
  assert.deepEqual(received, Array<string>(10).fill('12'));
});
