/**
 * HTTP clients for upstreams: a request is never sent twice, and the memory used by an event is bounded.
 */
import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as v8 from 'node:v8';

import type * as orders from '../orders/types.js';
import * as rawAnswers from '../relay/rawAnswers.js';
import * as responseMemory from '../relay/responseMemory.js';
import type * as streams from '../streams/types.js';
import * as endlessBytes from './endlessBytes.js';
import * as httpUpstreams from './httpUpstreams.js';
import * as statsdMetrics from './statsdMetrics.js';

const CALL: streams.ServiceCall = {
  method: 'POST',
  path: '/pay',
  contentType: 'application/json',
  body: '{}',
  idempotencyKey: 'k1',
};

/** Starts a TCP server that counts requests and passes each to a handler; it is closed when the test ends, also where it fails. */
async function serve(
  context: test.TestContext,
  onRequest: (socket: net.Socket, count: number) => void,
): Promise<{ target: streams.UpstreamTarget; count: () => number; close: () => void }> {
  let count = 0;
  const { address, stopListening, close } = await rawAnswers.listen((socket) => {
    socket.on('data', () => {
      count += 1;
      onRequest(socket, count);
    });
  });
  context.after(close);
  return { target: { name: 's', address: `http://${address}` }, count: () => count, close: stopListening };
}

function callService(services: streams.ServicePort, target: streams.UpstreamTarget): Promise<string> {
  return new Promise((resolve) => {
    services.call(target, CALL, 2_000, {
      onAnswer: () => {
        resolve('answered');
      },
      onFailed: resolve,
    });
  });
}

const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}';

// The connection breaks after the call was sent. The call may have run, so the HTTP client must report the failure
// and must not retry.
void test.test('a call whose connection breaks is sent once and reported as broken', async (context) => {
  const server = await serve(context, (socket) => socket.destroy());
  const outcome = await callService(httpUpstreams.createServicePort(), server.target);
  assert.equal(outcome, 'broken');
  assert.equal(server.count(), 1);
});

// HTTP clients often retry on a reused connection: here the second call on the connection breaks.
void test.test('a call that breaks on a reused connection is sent once', async (context) => {
  const server = await serve(context, (socket, count) => {
    if (count === 1) {
      socket.write(ANSWER);
    } else {
      socket.destroy();
    }
  });
  const services = httpUpstreams.createServicePort();
  assert.equal(await callService(services, server.target), 'answered');
  assert.equal(await callService(services, server.target), 'broken');
  assert.equal(server.count(), 2);
});

void test.test('a refused connection is reported as never sent', async (context) => {
  const server = await serve(context, () => undefined);
  server.close();
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(await callService(httpUpstreams.createServicePort(), server.target), 'neverSent');
});

// An event that never ends must not exhaust the memory of the entry.
void test.test('an event without an end fails the connection', async (context) => {
  const server = await serve(context, (socket, count) => {
    if (count === 1) {
      socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ');
      socket.write('x'.repeat(3_000_000));
    }
  });
  const request = { generation: 'r.1', path: '/v1/completions', body: '{}', priority: 0 };
  const reason = await new Promise<string>((resolve) => {
    httpUpstreams.createGenerationPort().start(server.target, request, {
      onAccepted: () => undefined,
      onToken: () => {
        resolve('token');
      },
      onCompleted: () => {
        resolve('ended');
      },
      onFailed: (_reason, detail) => {
        resolve(detail);
      },
    });
  });
  assert.equal(reason, 'event too large');
});

/** Parts of an event of more than 1 MiB. */
const SMALL_PARTS: readonly (readonly [string, Buffer])[] = [
  ['chunks of two bytes', Buffer.from('2\r\nxy\r\n'.repeat(600_000))],
  ['lines without a byte', Buffer.from('6\r\ndata:\n\r\n'.repeat(200_000))],
];

// Guards against a heap that is full of the pieces of an event whose bytes are within the bound.
for (const [name, chunks] of SMALL_PARTS) {
  void test.test(`an event in ${name} holds little more than its bytes`, async (context) => {
    const server = await serve(context, (socket, count) => {
      if (count === 1) {
        socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\ndata: \r\n');
        socket.write(chunks);
      }
    });
    const request = { generation: 'r.1', path: '/v1/completions', body: '{}', priority: 0 };
    const heapBytes = (): number => {
      // Counting objects runs the garbage collector.
      v8.queryObjects(Uint8Array, { format: 'count' });
      return v8.getHeapStatistics().used_heap_size;
    };
    const before = heapBytes();
    let grown = 0;
    const noop = (): void => undefined;
    const reason = await new Promise<string>((resolve) => {
      httpUpstreams.createGenerationPort().start(server.target, request, {
        ...{ onAccepted: noop, onToken: noop, onCompleted: noop },
        onFailed: (_reason, detail) => {
          grown = heapBytes() - before;
          resolve(detail);
        },
      });
    });
    assert.equal(reason, 'event too large');
    assert.ok(grown < 2_000_000, `${grown} bytes of heap`);
  });
}

// Guards against a part of an answer that is recorded as the outcome of a call, since a crash ends its connection alike.
void test.test(
  'an answer that only its connection ends is broken if the service is gone',
  async (context) => {
    const answer = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{}';
    const running = await serve(context, (socket) => socket.end(answer));
    assert.equal(await callService(httpUpstreams.createServicePort(), running.target), 'answered');
    running.close();
    const crashing = await serve(context, (socket) => {
      crashing.close();
      socket.end(answer);
    });
    assert.equal(await callService(httpUpstreams.createServicePort(), crashing.target), 'broken');
  },
);

// Guards against a call that ends the process because it cannot be encoded; nothing of it was sent.
void test.test('a call that cannot be encoded fails alone, as never sent', async () => {
  const services = httpUpstreams.createServicePort();
  const target = { name: 's', address: 'http://127.0.0.1:1' };
  const failureOf = (address: string, changes: Partial<streams.ServiceCall>): Promise<string> =>
    new Promise((resolve) => {
      services.call({ ...target, address }, { ...CALL, ...changes }, 2_000, {
        onAnswer: () => {
          resolve('answered');
        },
        onFailed: resolve,
      });
    });
  assert.equal(await failureOf(target.address, { idempotencyKey: '学校' }), 'neverSent');
  assert.equal(await failureOf(target.address, { contentType: 'a\r\nb: c' }), 'neverSent');
  assert.equal(await failureOf('http://127.0.0.1:99999', {}), 'neverSent');
  const generations = httpUpstreams.createGenerationPort();
  const request = { generation: '学校', priority: 0, path: '/v1/completions', body: '{}' };
  for (const address of [target.address, 'no address', 'http://127.0.0.1:99999']) {
    const failure = await new Promise<string>((resolve) => {
      const noop = (): void => undefined;
      generations.start({ name: 's', address }, request, {
        ...{ onAccepted: noop, onToken: noop, onCompleted: noop },
        onFailed: resolve,
      });
    });
    assert.equal(failure, 'neverSent', address);
    generations.cancel({ name: 's', address: 'no address' }, '学校', false);
  }
});

/** Bounds each wait of a test for an outcome that may never come. */
const PATIENCE = 3_000;

function generate(
  target: streams.UpstreamTarget,
  onToken: (data: string) => void = () => undefined,
): Promise<string> {
  const request = { generation: 'r.1', path: '/v1/completions', body: '{}', priority: 0 };
  return new Promise((resolve) => {
    const connection = httpUpstreams.createGenerationPort().start(target, request, {
      onAccepted: () => undefined,
      onToken: (_generation, _index, data) => {
        onToken(data);
      },
      onCompleted: () => {
        resolve('completed');
      },
      onFailed: resolve,
    });
    setTimeout(() => {
      connection.close();
      resolve('nothing');
    }, PATIENCE).unref();
  });
}

function order(
  target: streams.UpstreamTarget,
  port: orders.OrderPort = httpUpstreams.createOrderPort(),
): Promise<string> {
  const content = { action: 'loadModel', target: 'm' } as const;
  const sent = {
    orderId: 'o',
    upstream: 's',
    fencingNumber: 7,
    order: content,
    stamp: 0,
    state: 'open',
  } as const;
  return new Promise((resolve) => {
    port.send(sent, target.address, PATIENCE, (result) => {
      resolve(result.ok ? JSON.stringify(result.val) : result.val.kind);
    });
  });
}

const STREAM_HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n';
const WHOLE_STREAM = 'id: r.1:0\ndata: {}\n\nid: r.1:1\ndata: [DONE]\n\n';

function malformed(body: string): readonly string[] {
  const fields = `content-length: ${body.length}\r\n\r\n${body}`;
  return [
    `HTTP/1.1 600 Odd\r\n${fields}`,
    `HTTP/1.1 000 Odd\r\n${fields}`,
    `HTTP/2.0 200 OK\r\n${fields}`,
    `HTTP/1.1 200 O\x01K\r\n${fields}`,
    `HTTP/1.1 200 OK\r\n${'x: a\r\n'.repeat(1_200)}${fields}`,
    `HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n${body}`,
    `HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  ];
}

// Guards against answers that no caller may receive: the calls of the platform refuse the same heads.
void test.test('malformed heads of services, engines and receipts are refused', async (context) => {
  const receipt = '{"fencingNumber":7,"target":"m"}';
  for (const [index, answer] of malformed('{}').entries()) {
    const server = await serve(context, (socket) => socket.end(answer));
    assert.equal(await callService(httpUpstreams.createServicePort(), server.target), 'broken', answer);
    const engine = await serve(context, (socket) => socket.end(malformed(WHOLE_STREAM)[index] ?? ''));
    assert.equal(await generate(engine.target), 'broken', answer);
    const ordered = await serve(context, (socket) => socket.end(malformed(receipt)[index] ?? ''));
    assert.equal(await order(ordered.target), 'unreachable', answer);
  }
});

// Guards against the answer of one call that is taken for that of the next on a connection.
void test.test('a second answer on a connection belongs to no call', async (context) => {
  const server = await serve(context, (socket, count) => {
    const answer = ANSWER.replace('{}', `${count} `);
    socket.write(answer + ANSWER.replace('{}', 'no'));
  });
  const services = httpUpstreams.createServicePort();
  for (const body of ['1 ', '2 ', '3 ']) {
    const received = await new Promise((resolve) => {
      services.call(server.target, CALL, PATIENCE, {
        onAnswer: (answer) => {
          resolve(answer.body);
        },
        onFailed: resolve,
      });
    });
    assert.equal(received, body);
  }
});

// Guards against a receipt that ends the process that reads it, or the leader of control that it is passed on to.
void test.test('what is no receipt confirms no order', async (context) => {
  const sound = '{"fencingNumber":7,"target":"m"}';
  const texts = ['null', '', '5', '[]', '{}', '{"fencingNumber":"7","target":"m"}', sound.slice(0, -1)];
  for (const text of [...texts, sound]) {
    const server = await serve(context, (socket) => {
      socket.end(`HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
    });
    assert.equal(await order(server.target), text === sound ? sound : 'unreachable', text);
  }
});

// Guards against an event that ends the process, or that no caller can parse.
void test.test('an event that is no chunk of a completion breaks the stream', async (context) => {
  for (const data of ['null', 'x', '[1]', '{"choices":[null]}', '{"choices":[{"text":{"toString":1}}]}']) {
    const server = await serve(context, (socket) => {
      socket.end(`${STREAM_HEAD}\r\nid: r.1:0\ndata: ${data}\n\nid: r.1:1\ndata: [DONE]\n\n`);
    });
    const tokens: string[] = [];
    const outcome = await generate(server.target, (token) => {
      tokens.push(token);
    });
    assert.deepEqual([outcome, tokens], ['broken', []], data);
  }
});

/** What an upstream sends again and again until its connection is closed, after a prefix. */
const ENDLESS: readonly (readonly [string, string, string])[] = [
  ['interim responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(20)],
  ['a head of lines', STREAM_HEAD, `x-line: ${'x'.repeat(900)}\r\n`],
  ['a chunk extension', `${STREAM_HEAD}transfer-encoding: chunked\r\n\r\n5;x=`, 'x'.repeat(900)],
  ['a body', `${STREAM_HEAD}\r\ndata: `, 'x'.repeat(9_000)],
  ['the body of an error', 'HTTP/1.1 500 Failed\r\n\r\n', 'x'.repeat(9_000)],
  [
    'events behind the end of a stream',
    `${STREAM_HEAD}\r\n${WHOLE_STREAM}`,
    'id: r.1:2\ndata: {}\n\n'.repeat(40),
  ],
];

/** Sends without end; resolves with the number of bytes when the connection is closed. */
function sendEndless(socket: net.Socket, prefix: string, repeated: string): Promise<number> {
  const sentBytes = endlessBytes.send(socket, prefix, repeated);
  return new Promise((resolve) => {
    socket.once('close', () => {
      resolve(sentBytes());
    });
    setTimeout(() => {
      socket.destroy();
      resolve(Number.POSITIVE_INFINITY);
    }, PATIENCE).unref();
  });
}

// Guards against connections that live, and take memory and processor time, for as long as the upstream sends.
for (const [description, prefix, repeated] of ENDLESS) {
  for (const [kind, send] of [
    ['a service', (target) => callService(httpUpstreams.createServicePort(), target)],
    ['an engine', generate],
    ['a receipt', order],
  ] as readonly (readonly [string, (target: streams.UpstreamTarget) => Promise<string>])[]) {
    void test.test(`${description} of ${kind} without end: the connection is closed`, async (context) => {
      const closed: Promise<number>[] = [];
      const server = await serve(context, (socket) => {
        closed.push(sendEndless(socket, prefix, repeated));
      });
      assert.notEqual(await send(server.target), 'nothing');
      for (const sent of await Promise.all(closed)) {
        assert.ok(sent < 16_000_000, `${sent} bytes`);
      }
    });
  }
}

/** Room for at least three parts of 100,000 bytes, and for less than six. */
function smallMemory(warn: (event: string) => void = () => undefined): responseMemory.ResponseMemory {
  const ignore = (): void => undefined;
  const log = { debug: ignore, info: ignore, warn, error: ignore };
  return new responseMemory.ResponseMemory(log, statsdMetrics.noop, { perResponse: 200_000, total: 500_000 });
}

/** Answers each request with a part, and with its rest once `finish` is called. */
async function serveParts(
  context: test.TestContext,
  part: string,
  rest: string,
): Promise<{ readonly target: streams.UpstreamTarget; readonly finish: () => void }> {
  const open: net.Socket[] = [];
  let isFinished = false;
  const server = await serve(context, (socket) => {
    open.push(socket);
    socket.write(isFinished ? part + rest : part);
  });
  const finish = (): void => {
    isFinished = true;
    for (const socket of open) {
      socket.write(rest);
    }
  };
  return { target: server.target, finish };
}

// Guards against answers of services that fill the entry together: each is below its bound.
void test.test('answers of services are held within one bound', async (context) => {
  const body = 'x'.repeat(100_000);
  const head = 'HTTP/1.1 200 OK\r\ncontent-length: 100001\r\n\r\n';
  const { target, finish } = await serveParts(context, head + body, 'x');
  const memory = smallMemory();
  const services = httpUpstreams.createServicePort(memory);
  const outcomes = [1, 2, 3, 4, 5, 6].map(() => callService(services, target));
  assert.equal(await Promise.race(outcomes), 'broken');
  finish();
  const all = await Promise.all(outcomes);
  assert.ok(all.filter((outcome) => outcome === 'answered').length >= 2, all.join());
  assert.deepEqual(memory.held(), { bytes: 0, pieces: 0 });
});

// Guards against the same by what upstreams answer to orders.
void test.test('answers to orders are held within one bound', async (context) => {
  const body = 'x'.repeat(100_000);
  const head = 'HTTP/1.1 200 OK\r\ncontent-length: 100001\r\n\r\n';
  const { target, finish } = await serveParts(context, head + body, 'x');
  const warnings: string[] = [];
  const memory = smallMemory((event) => warnings.push(event));
  const port = httpUpstreams.createOrderPort(memory);
  const outcomes = [1, 2, 3, 4, 5, 6].map(() => order(target, port));
  assert.equal(await Promise.race(outcomes), 'unreachable');
  assert.deepEqual([...new Set(warnings)], ['responseGivenUp']);
  finish();
  await Promise.all(outcomes);
  assert.deepEqual(memory.held(), { bytes: 0, pieces: 0 });
});

// Guards against the same by what engines answer to cancellations, which nobody reads.
void test.test('answers to cancellations count with what is held', async (context) => {
  const head = 'HTTP/1.1 200 OK\r\ncontent-length: 50001\r\n\r\n';
  const { target, finish } = await serveParts(context, head + 'x'.repeat(50_000), 'x');
  const memory = smallMemory();
  httpUpstreams.createGenerationPort(memory).cancel(target, 'g', false);
  const untilHeld = async (isHeld: boolean): Promise<void> => {
    for (let waited = 0; memory.held().bytes > 0 !== isHeld; waited += 10) {
      assert.ok(waited < PATIENCE, `${memory.held().bytes} bytes are held`);
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  };
  await untilHeld(true);
  finish();
  await untilHeld(false);
});

// Guards against the same by the events of engines.
void test.test('events of engines that have not ended are held within one bound', async (context) => {
  const head = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n';
  const event = `id: g:0\ndata: {"id":"${'x'.repeat(100_000)}"}`;
  const { target, finish } = await serveParts(context, head + event, '\n\n');
  const memory = smallMemory();
  const engines = httpUpstreams.createGenerationPort(memory);
  const request = { generation: 'g', path: '/v1/completions', body: '{}', priority: 0 };
  const start = (): Promise<string> =>
    new Promise((resolve) => {
      const connection = engines.start(target, request, {
        onAccepted: () => undefined,
        onToken: () => {
          connection.close();
          resolve('token');
        },
        onCompleted: () => undefined,
        onFailed: (reason) => {
          resolve(reason);
        },
      });
    });
  const outcomes = [1, 2, 3, 4, 5, 6].map(start);
  const none = new Promise((resolve) => setTimeout(resolve, 2_000, 'none'));
  assert.equal(await Promise.race([none, ...outcomes]), 'broken');
  finish();
  const all = await Promise.all(outcomes);
  assert.ok(all.filter((outcome) => outcome === 'token').length >= 2, all.join());
  assert.deepEqual(memory.held(), { bytes: 0, pieces: 0 });
});

/** Events of 40 bytes and more that fit in two reads. */
const WAITING_TOKENS = 2_000;

/** A generation that is paused at each of its tokens. */
class PausedGeneration {
  readonly tokens: number[] = [];
  outcome = '';
  private readonly connection: streams.GenerationConnection;

  constructor(target: streams.UpstreamTarget, memory: responseMemory.ResponseMemory) {
    const request = { generation: 'r.1', path: '/v1/completions', body: '{}', priority: 0 };
    this.connection = httpUpstreams.createGenerationPort(memory).start(target, request, {
      onAccepted: () => undefined,
      onToken: (_generation, index) => {
        this.tokens.push(index);
        this.connection.pause();
      },
      onCompleted: () => {
        this.outcome = 'completed';
      },
      onFailed: (reason) => {
        this.outcome = reason;
      },
    });
  }

  resume(): void {
    this.connection.resume();
  }

  close(): void {
    this.connection.close();
  }
}

async function serveWaitingTokens(context: test.TestContext): Promise<streams.UpstreamTarget> {
  const text = Array.from(
    { length: WAITING_TOKENS },
    (_none, index) => `id: r.1:${index}\ndata: {"choices":[{"text":"a"}]}\n\n`,
  ).join('');
  const { target } = await serve(context, (socket) => {
    socket.end(`${STREAM_HEAD}\r\n${text}id: r.1:${WAITING_TOKENS}\ndata: [DONE]\n\n`);
  });
  return target;
}

/** Waits until something holds, for a second at most. */
async function until(holds: () => boolean): Promise<void> {
  for (let turns = 0; !holds() && turns < 100; turns += 1) {
    await timers.setTimeout(10);
  }
}

// Guards against events that were read before a pause and that nothing counts, and against their loss or repetition.
void test.test('events that wait during a pause count until they are passed on', async (context) => {
  const target = await serveWaitingTokens(context);
  const memory = smallMemory();
  const generation = new PausedGeneration(target, memory);
  await until(() => memory.held().bytes > 40_000);
  assert.ok(memory.held().bytes > 40_000, `${memory.held().bytes} bytes`);
  const before = memory.held().bytes;
  for (let turns = 0; generation.outcome === '' && turns < WAITING_TOKENS; turns += 1) {
    generation.resume();
    assert.ok(memory.held().bytes <= 2 * before);
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.equal(generation.outcome, 'completed');
  assert.deepEqual(
    generation.tokens,
    Array.from({ length: WAITING_TOKENS }, (_none, index) => index),
  );
  assert.deepEqual(memory.held(), { bytes: 0, pieces: 0 });
});

// Guards against room that stays taken, and against paused generations that fill the entry together.
void test.test(
  'events that wait during pauses are held within one bound, and given back',
  async (context) => {
    const target = await serveWaitingTokens(context);
    const memory = smallMemory();
    const generations = Array.from({ length: 12 }, () => new PausedGeneration(target, memory));
    await until(() => generations.every(({ tokens }) => tokens.length > 0));
    await timers.setTimeout(50);
    const { bytes } = memory.held();
    assert.ok(bytes > 300_000 && bytes <= 500_000, `${bytes} bytes`);
    // A caller that takes nothing has no use for another connection.
    assert.deepEqual([...new Set(generations.map(({ outcome }) => outcome))], ['']);
    for (const generation of generations) {
      generation.resume();
    }
    const broken = generations.filter(({ outcome }) => outcome === 'broken');
    assert.ok(broken.length > 0 && broken.length < generations.length, `${broken.length} given up`);
    for (const generation of generations) {
      const { tokens } = generation;
      assert.deepEqual(
        tokens,
        tokens.map((_index, position) => position),
      );
      generation.close();
    }
    assert.deepEqual(memory.held(), { bytes: 0, pieces: 0 });
  },
);
