/**
 * Streams of small events over loopback connections, whose callers read less than their upstreams send.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import * as unboundedRequests from '../callerBounds/unboundedRequests.js';
import * as rawAnswers from '../relay/rawAnswers.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
import * as streamExchange from '../relay/streamExchange.js';
import type * as relayTypes from '../relay/types.js';
import * as trafficHttp from './trafficHttp.js';

/** More than the connections on both sides hold. */
const EVENT_COUNT = 800_000;

/** Node.js takes 16 KiB before it tells that a connection is full, and a read of 64 KiB may follow. */
const MOST_UNREAD = 128 * 1_024;

function eventText(index: number): string {
  return `id: ${index}\ndata: ${String(index).padStart(22, '.')}\n\n`;
}

/** Sends numbered events, each a chunk of its own, as fast as they are read. */
function startUpstream(): { server: net.Server; sentEvents: () => number } {
  let sent = 0;
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
      const sendNext = (): void => {
        const chunks: string[] = [];
        for (const end = Math.min(sent + 1_000, EVENT_COUNT); sent < end;) {
          sent += 1;
          const text = eventText(sent);
          chunks.push(`${text.length.toString(16)}\r\n${text}\r\n`);
        }
        if (sent < EVENT_COUNT) {
          socket.write(chunks.join(''), sendNext);
        } else {
          socket.end(`${chunks.join('')}0\r\n\r\n`);
        }
      };
      sendNext();
    });
  });
  return { server, sentEvents: () => sent };
}

async function listen(server: net.Server): Promise<number> {
  server.listen(0, '127.0.0.1');
  await events.EventEmitter.once(server, 'listening');
  return (server.address() as net.AddressInfo).port;
}

interface Running {
  readonly port: number;
  readonly sentEvents: () => number;
  /** Most bytes that waited for the caller after a write. */
  readonly mostUnread: () => number;
  readonly writes: () => number;
  readonly close: () => void;
}

/** Starts an upstream and an entry that relays its stream. */
async function start(): Promise<Running> {
  const { server: upstream, sentEvents } = startUpstream();
  const address = `127.0.0.1:${await listen(upstream)}`;
  const harness = new relayTestHarness.RelayTestHarness(['a'], 100, {
    port: rawAnswers.upstreamPort,
    addresses: [address],
  });
  harness.placements.push('a');
  let mostUnread = 0;
  let writes = 0;
  const { server } = trafficHttp.create({
    clock: harness.time.clock,
    log: harness.context.log,
    limits: () => undefined,
    requests: unboundedRequests.create(),
    isDraining: () => false,
    recentPause: () => 0,
    decode: () => harness.createRoutedRequest('stream').request,
    encodeRefusal: (_request, { reason }) => ({ status: 502, headers: [], body: reason }),
    handle: (request, port) => {
      let written = 0;
      const caller: relayTypes.CallerPort = {
        ...port,
        write: (bytes) => {
          written += bytes.length;
          writes += 1;
          const canTakeMore = port.write(bytes);
          mostUnread = Math.max(mostUnread, written - port.takenBytes());
          return canTakeMore;
        },
      };
      const routed = harness.createRoutedRequest('stream');
      new streamExchange.StreamExchange(harness.context, { ...routed, request, caller }).start();
    },
  });
  const port = await listen(server);
  const close = (): void => {
    server.closeAllConnections();
    server.close();
    upstream.close();
  };
  return { port, sentEvents, mostUnread: () => mostUnread, writes: () => writes, close };
}

/** Time without an event after which an upstream counts as stopped: one that is read can stand still for 100 ms while a connection opens up. */
const STOPPED_AFTER = 1_000;

async function untilBlocked(sentEvents: () => number): Promise<void> {
  for (let before = -1; before !== sentEvents();) {
    before = sentEvents();
    await timers.setTimeout(STOPPED_AFTER);
  }
}

// Guards against events that wait in the memory of the entry without a bound, and against their loss or repetition.
void test.test(
  'an upstream waits for a caller that does not read, which then gets every event once',
  { timeout: 30_000 },
  async () => {
    const { port, sentEvents, mostUnread, writes, close } = await start();
    try {
      const request = http.request({ host: '127.0.0.1', port, method: 'POST', path: '/' }).end();
      const [response] = (await events.EventEmitter.once(request, 'response')) as [http.IncomingMessage];
      response.pause();
      await untilBlocked(sentEvents);
      assert.ok(sentEvents() < EVENT_COUNT, 'the upstream was never stopped');
      assert.ok(mostUnread() <= MOST_UNREAD, `${mostUnread()} bytes waited`);
      let text = '';
      let next = 1;
      for await (const bytes of response) {
        text += (bytes as Buffer).toString('latin1');
        for (let end = text.indexOf('\n\n'); end >= 0; end = text.indexOf('\n\n')) {
          assert.equal(text.slice(0, end + 2), eventText(next));
          text = text.slice(end + 2);
          next += 1;
        }
      }
      assert.equal(next, EVENT_COUNT + 1);
      assert.ok(mostUnread() <= MOST_UNREAD, `${mostUnread()} bytes waited`);
      assert.ok(writes() < EVENT_COUNT / 100, `${writes()} writes`);
    } finally {
      close();
    }
  },
);
