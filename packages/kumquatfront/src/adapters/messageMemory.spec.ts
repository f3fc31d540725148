/**
 * What all connections to peers hold together.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as jsonRpcTransport from './jsonRpcTransport.js';
import * as lineSocket from './lineSocket.js';
import * as messageMemory from './messageMemory.js';

const noop = (): void => undefined;
const log = { debug: noop, info: noop, warn: noop, error: noop };

const MEBIBYTE = 1_048_576;

/** Bound of the code, stated here so that a change of it is seen. */
const BOUND = 24 * MEBIBYTE;

const SILENT_PEERS = 10;

/** Peers that accept connections and never prove themselves; returns their addresses. */
async function listenSilently(context: test.TestContext): Promise<readonly string[]> {
  return Promise.all(
    Array.from({ length: SILENT_PEERS }, async () => {
      const server = net.createServer((socket) => {
        socket.on('error', noop);
      });
      context.after(() => {
        server.close();
      });
      return new Promise<string>((resolve) => {
        server.listen(0, '127.0.0.1', () => {
          resolve(`127.0.0.1:${(server.address() as net.AddressInfo).port}`);
        });
      });
    }),
  );
}

async function listenAsPeer(context: test.TestContext, scheduler: ports.Scheduler): Promise<string> {
  const peer = jsonRpcTransport.create({ clusterKey: 'key', scheduler, log });
  peer.serve('length', (parameters, reply) => {
    reply(results.Ok((parameters as string[])[0]?.length));
  });
  context.after(() => {
    peer.close();
  });
  return new Promise((resolve) => {
    peer.listen('127.0.0.1:0', (port) => {
      resolve(`127.0.0.1:${port}`);
    });
  });
}

// Guards against a heap that is full of messages to many peers that are away, each within the bound of its own.
void test.test(
  'messages to all peers have a bound, and a peer that takes them still gets its own',
  { timeout: 20_000 },
  async (context) => {
    const time = new virtualTime.VirtualTime();
    const dropped = new Set<string>();
    const warn = (event: string, { address }: ports.LogFields = {}): void => {
      dropped.add(`${event} ${String(address)}`);
    };
    const transport = jsonRpcTransport.create({ clusterKey: 'key', scheduler: time, log: { ...log, warn } });
    context.after(() => {
      transport.close();
    });
    const address = await listenAsPeer(context, time);
    const silent = await listenSilently(context);
    for (let count = 0; count < 80; count += 1) {
      for (const peer of silent) {
        transport.notify(peer, 'any', ['x'.repeat(100_000)]);
      }
    }
    const { bytes } = transport.held();
    assert.ok(bytes > BOUND / 2 && bytes <= BOUND, `${bytes} bytes`);
    const length = await new Promise<unknown>((resolve) => {
      transport.request(address, 'length', ['x'.repeat(MEBIBYTE)], 60_000, (result) => {
        resolve(result.val);
      });
    });
    assert.equal(length, MEBIBYTE);
    time.advance(1_000);
    assert.deepEqual(dropped, new Set(silent.map((peer) => `peerMessagesDropped ${peer}`)));
  },
);

/** Adds messages to a connection until one is refused, at most so many bytes; returns the bytes that it holds. */
function fill(memory: messageMemory.ConnectionMemory, step: number, most = 2 * BOUND): number {
  let held = 0;
  let messages = 0;
  while (held < most && memory.makeRoom(step)) {
    held += step;
    messages += 1;
    memory.set(held, messages);
  }
  return held;
}

// Guards against a few peers that take nothing and leave no room for messages to others.
void test.test('a connection that holds less gets room from the one that holds the most', () => {
  const memory = new messageMemory.MessageMemory();
  const closed: string[] = [];
  const open = (name: string): messageMemory.ConnectionMemory => memory.open(() => closed.push(name));
  const small = open('small');
  assert.equal(fill(small, 1_000, MEBIBYTE), 1_049_000);
  const largest = open('largest');
  assert.ok(fill(largest, MEBIBYTE) > BOUND - 3 * MEBIBYTE);
  assert.deepEqual(closed, []);
  assert.equal(fill(open('medium'), MEBIBYTE, 5 * MEBIBYTE), 5 * MEBIBYTE);
  assert.deepEqual(closed, ['largest']);
  assert.equal(largest.held, 0);
});

// Guards against a large message to all peers, for which connections to some of them are closed.
void test.test('connections that hold about the same close none of each other', () => {
  const memory = new messageMemory.MessageMemory();
  const closed: number[] = [];
  const connections = Array.from({ length: 150 }, (_, index) => memory.open(() => closed.push(index)));
  const held = connections.map((connection, index) => fill(connection, 200_000 - index, 150_000));
  const all = held.reduce((sum, bytes) => sum + bytes, 0);
  assert.ok(all > BOUND / 2 && all <= BOUND, `${all} bytes`);
  assert.equal(held.at(-1), 0);
  assert.deepEqual(closed, []);
});

// Guards against a heap that is full of the objects of short messages.
void test.test('messages count with the heap that they take beside their text', () => {
  const messages = fill(new messageMemory.MessageMemory().open(noop), 1);
  assert.ok(messages > 1_000 && messages <= BOUND / 200, `${messages} messages`);
});

/** Connections of one transport whose peers take nothing that is sent to them. */
function openLines(count: number): {
  readonly sockets: readonly (events.EventEmitter & { destroyed: boolean })[];
  readonly lines: readonly lineSocket.LineSocket[];
} {
  const memory = new messageMemory.MessageMemory();
  const sockets = Array.from({ length: count }, () => {
    const socket = Object.assign(new events.EventEmitter(), {
      destroyed: false,
      writableLength: 0,
      setNoDelay: noop,
      write: (text: string) => {
        socket.writableLength += text.length;
      },
      destroy: () => {
        socket.destroyed = true;
        socket.writableLength = 0;
        socket.emit('close');
      },
    });
    return socket;
  });
  const lines = sockets.map((socket) => {
    const account = memory.open(socket.destroy);
    const opened = new lineSocket.LineSocket(socket as unknown as net.Socket, account, noop);
    opened.permitLongLines();
    return opened;
  });
  return { sockets, lines };
}

function heldBytes(lines: readonly lineSocket.LineSocket[]): number {
  return lines.reduce((sum, line) => sum + line.held().bytes, 0);
}

// Guards against memory that is full of unsent messages to peers that have proved themselves and do not read.
void test.test('unsent messages of all connections have a bound', () => {
  const { sockets, lines } = openLines(10);
  const text = 'x'.repeat(100_000);
  for (let count = 0; count < 80; count += 1) {
    for (const line of lines) {
      line.send(text);
    }
  }
  assert.ok(heldBytes(lines) > BOUND / 2 && heldBytes(lines) <= BOUND, `${heldBytes(lines)} bytes`);
  for (const socket of sockets.slice(1)) {
    socket.emit('close');
  }
  assert.equal(lines[0]?.send(text), true, 'what closed connections held is free');
});

// Guards against memory that is full of lines that do not end, each within its bound.
void test.test('lines of all connections that have arrived in part have a bound', () => {
  const { sockets, lines } = openLines(20);
  const part = Buffer.from('x'.repeat(65_536));
  for (let count = 0; count < 100; count += 1) {
    for (const socket of sockets) {
      if (!socket.destroyed) {
        socket.emit('data', part);
      }
    }
    assert.ok(heldBytes(lines) <= BOUND, `${heldBytes(lines)} bytes`);
  }
  const closed = sockets.filter(({ destroyed }) => destroyed).length;
  assert.ok(closed > 0 && closed < sockets.length, `${closed} of ${sockets.length} closed`);
});

// Guards against strangers that close the connections of peers, and against the last peer that takes its messages being kept out.
void test.test('a handshake takes no room from other connections, and needs none', () => {
  const { sockets } = openLines(1);
  const memory = new messageMemory.MessageMemory();
  const closed: string[] = [];
  fill(
    memory.open(() => closed.push('peer')),
    1_000,
  );
  const [socket] = sockets;
  assert.ok(socket !== undefined);
  const stranger = memory.open(() => closed.push('stranger'));
  const handshake = new lineSocket.LineSocket(socket as unknown as net.Socket, stranger, noop);
  socket.emit('data', Buffer.alloc(4_000, 'x'));
  handshake.write('x'.repeat(300_000));
  assert.deepEqual(closed, []);
  assert.ok(handshake.held().bytes > 300_000);
});
