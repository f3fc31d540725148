/**
 * Connections of the peer transport that do not open, or fall silent.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import type * as stream from 'node:stream';
import * as test from 'node:test';
import * as timersPromises from 'node:timers/promises';

import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as jsonRpcTransport from './jsonRpcTransport.js';
import * as systemTime from './systemTime.js';

const noop = (): void => undefined;
const log = { debug: noop, info: noop, warn: noop, error: noop };

/** Script of a process that listens with a backlog of one connection and prints its port. */
const LISTENER = `const server = require('node:net').createServer();
server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => console.log(server.address().port));`;

async function firstLine(
  child: childProcess.ChildProcessByStdio<null, stream.Readable, null>,
): Promise<string> {
  return new Promise((resolve) => {
    child.stdout.once('data', (bytes: Buffer) => {
      resolve(bytes.toString('utf8').trim());
    });
  });
}

async function connectTo(port: number): Promise<net.Socket> {
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', noop);
  return new Promise((resolve) => {
    socket.once('connect', () => {
      resolve(socket);
    });
  });
}

// The SYN to a process that is not up yet is lost, and the kernel retransmits it only after a second. The request
// must fail before that, so that it can be retried on a new connection.
void test.test('a connection that does not open fails within a quarter of a second', async () => {
  const child = childProcess.spawn(process.execPath, ['-e', LISTENER], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const port = Number(await firstLine(child));
  child.kill('SIGSTOP');
  const fillers = [await connectTo(port), await connectTo(port)];
  const time = new virtualTime.VirtualTime();
  const transport = jsonRpcTransport.create({ clusterKey: 'key', scheduler: time, log });
  try {
    let failed = false;
    transport.request(`127.0.0.1:${port}`, 'any', null, 60_000, (result) => {
      failed = result.err;
    });
    time.advance(260);
    // The close event and the rejection are delivered in the next turns of the event loop.
    await timersPromises.setImmediate();
    await timersPromises.setImmediate();
    assert.equal(failed, true);
  } finally {
    transport.close();
    for (const filler of fillers) {
      filler.destroy();
    }
    child.kill('SIGKILL');
  }
});

/** Forwards connections to a port; once it is silent, nothing passes any more on those that are open. */
async function startForwarder(port: number): Promise<{
  readonly port: number;
  readonly silence: () => void;
  readonly close: () => void;
}> {
  const open = new Set<net.Socket>();
  const server = net.createServer((inbound) => {
    const outbound = net.connect(port, '127.0.0.1');
    for (const socket of [inbound, outbound]) {
      open.add(socket);
      socket.on('error', noop);
    }
    inbound.pipe(outbound);
    outbound.pipe(inbound);
  });
  const ownPort = await new Promise<number>((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve((server.address() as net.AddressInfo).port);
    });
  });
  return {
    port: ownPort,
    silence: () => {
      for (const socket of open) {
        socket.unpipe();
        socket.pause();
      }
    },
    close: () => {
      server.close();
      for (const socket of open) {
        socket.destroy();
      }
    },
  };
}

// Guards against messages that wait on a connection that fell silent. Nothing here sets keep-alive or a timeout of TCP, so
// only the probes of the transport find out.
void test.test('a connection that falls silent is closed, and the next message opens a new one', async () => {
  const { scheduler } = systemTime;
  const server = jsonRpcTransport.create({ clusterKey: 'key', scheduler, log });
  server.serve('echo', (parameters, reply) => {
    reply(results.Ok(parameters));
  });
  const port = await new Promise<number>((resolve) => {
    server.listen('127.0.0.1:0', resolve);
  });
  const forwarder = await startForwarder(port);
  const client = jsonRpcTransport.create({ clusterKey: 'key', scheduler, log });
  const ask = (): Promise<boolean> =>
    new Promise((resolve) => {
      client.request(`127.0.0.1:${forwarder.port}`, 'echo', [1], 60_000, (result) => {
        resolve(result.ok);
      });
    });
  try {
    assert.equal(await ask(), true);
    forwarder.silence();
    assert.equal(await ask(), false);
    assert.equal(await ask(), true);
  } finally {
    client.close();
    server.close();
    forwarder.close();
  }
});

// Guards against a library or a change that leaves dead connections to the operating system: a TCP user timeout also decides
// when keep-alive probes give up, whatever their number.
void test.test('no module of the library sets keep-alive or a user timeout of TCP', () => {
  const library = new URL('../', import.meta.url);
  const files = fs.readdirSync(library, { recursive: true, encoding: 'utf8' });
  const modules = files.filter((file) => file.endsWith('.js') && !file.endsWith('.spec.js'));
  const setting = /setKeepAlive|keepAliveInitialDelay|TCP_USER_TIMEOUT/;
  const found = modules.filter((file) => setting.test(fs.readFileSync(new URL(file, library), 'utf8')));
  assert.deepEqual(found, []);
});

// Guards against a first line of any process that ends the one that reads it.
void test.test(
  'a first line that is no proof closes its connection, and peers are still served',
  async () => {
    const { scheduler } = systemTime;
    const server = jsonRpcTransport.create({ clusterKey: 'key', scheduler, log });
    server.serve('test.echo', (parameters, reply) => {
      reply(results.Ok(parameters));
    });
    const port = await new Promise<number>((resolve) => {
      server.listen('127.0.0.1:0', resolve);
    });
    const lines = [
      'null',
      '1',
      '"text"',
      '[]',
      '{}',
      '{"nonce":null}',
      '{"nonce":{},"proof":[]}',
      '{"proof":5}',
      '{',
    ];
    for (const line of [...lines, '\u0000', '']) {
      const socket = await connectTo(port);
      const closed = new Promise((resolve) => socket.once('close', resolve));
      socket.resume();
      socket.write(`${line}\n`);
      await closed;
    }
    const peer = jsonRpcTransport.create({ clusterKey: 'key', scheduler, log });
    const isServed = await new Promise<boolean>((resolve) => {
      peer.request(`127.0.0.1:${port}`, 'test.echo', ['x'], 3_000, (result) => {
        resolve(result.ok);
      });
    });
    assert.equal(isServed, true);
    peer.close();
    server.close();
  },
);

// Guards against peers whose answers to the handshake, or after it, are no messages.
void test.test('a peer that answers with other lines fails the request alone', async () => {
  for (const line of ['null', '{"nonce":7}', '{"proof":{}}', 'no JSON']) {
    const server = net.createServer((socket) => {
      socket.on('error', noop);
      socket.write(`${line}\n${line}\n`);
    });
    const port = await new Promise<number>((resolve) => {
      server.listen(0, '127.0.0.1', () => {
        resolve((server.address() as net.AddressInfo).port);
      });
    });
    const transport = jsonRpcTransport.create({ clusterKey: 'key', scheduler: systemTime.scheduler, log });
    const isFailed = await new Promise<boolean>((resolve) => {
      transport.request(`127.0.0.1:${port}`, 'any', [], 3_000, (result) => {
        resolve(result.err);
      });
    });
    assert.equal(isFailed, true, line);
    transport.close();
    server.close();
  }
});

// Guards against a peer address in old state that no connection can have.
void test.test('a request to an address that cannot exist fails alone', async () => {
  const transport = jsonRpcTransport.create({ clusterKey: 'key', scheduler: systemTime.scheduler, log });
  for (const address of ['127.0.0.1:99999', '127.0.0.1:x', '']) {
    transport.notify(address, 'any', []);
    const isFailed = await new Promise<boolean>((resolve) => {
      transport.request(address, 'any', [], 3_000, (result) => {
        resolve(result.err);
      });
    });
    assert.equal(isFailed, true, address);
  }
  transport.close();
});

// Guards against a process without the key that is served, and logged, for each line of one read.
void test.test('a stranger that sends many lines at once is refused once', async () => {
  const refused: string[] = [];
  const server = jsonRpcTransport.create({
    clusterKey: 'key',
    scheduler: systemTime.scheduler,
    log: { ...log, warn: (event) => refused.push(event) },
  });
  const port = await new Promise<number>((resolve) => {
    server.listen('127.0.0.1:0', resolve);
  });
  const socket = await connectTo(port);
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.resume();
  socket.write('\n'.repeat(1_000));
  await closed;
  server.close();
  assert.deepEqual(refused, ['strangerRefused']);
});

/** A peer that accepts connections and never proves itself, and a transport that has not given up on it. */
async function withSilentPeer(
  run: (
    transport: jsonRpcTransport.JsonRpcTransport,
    address: string,
    time: virtualTime.VirtualTime,
  ) => Promise<void>,
  warn: (event: string, fields?: ports.LogFields) => void,
): Promise<void> {
  const server = net.createServer((socket) => {
    socket.on('error', noop);
  });
  const port = await new Promise<number>((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve((server.address() as net.AddressInfo).port);
    });
  });
  const time = new virtualTime.VirtualTime();
  const transport = jsonRpcTransport.create({ clusterKey: 'key', scheduler: time, log: { ...log, warn } });
  try {
    await run(transport, `127.0.0.1:${port}`, time);
  } finally {
    transport.close();
    server.close();
  }
}

// Guards against messages without end to a peer that is not there yet: they filled the heap until the connection was given up.
void test.test('what waits for a connection has a bound on bytes and one on messages', async () => {
  for (const { text, sent, size, notSent } of [
    { text: 'x'.repeat(1_000_000), sent: 20, size: 8 * 1024 * 1024, notSent: 13 },
    { text: '', sent: 11_000, size: 10_000 * 60, notSent: 1_001 },
  ]) {
    const lines: string[] = [];
    await withSilentPeer(
      async (transport, address, time) => {
        for (let count = 0; count < sent; count += 1) {
          transport.notify(address, 'any', [text]);
        }
        const { bytes, pieces } = transport.held();
        assert.ok(
          bytes <= size && bytes > size * 0.5 && pieces <= 10_000,
          `${bytes} bytes, ${pieces} messages`,
        );
        const message = await new Promise<string>((resolve) => {
          transport.request(address, 'any', [text], 60_000, (result) => {
            resolve(result.err ? result.val.message : 'answered');
          });
        });
        assert.match(message, /too much waits for the connection to open/);
        time.advance(1_000);
      },
      (event, { address: to, messages } = {}) => lines.push(`${event} ${String(to)} ${String(messages)}`),
    );
    assert.equal(lines.length, 2);
    assert.match(lines[0] ?? '', /^peerMessagesDropped 127\.0\.0\.1:\d+ 1$/);
    const dropped = lines.map((line) => Number(line.split(' ').at(-1)));
    assert.equal((dropped[0] ?? 0) + (dropped[1] ?? 0), notSent);
  }
});
