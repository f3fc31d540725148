/**
 * Responses that stream a generation to its caller.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import type * as http from 'node:http';
import * as test from 'node:test';

import * as eventSource from 'eventsource-parser';

import type * as ports from '../kernel/ports.js';
import * as responseMemory from '../relay/responseMemory.js';
import * as generationResponses from './generationResponses.js';
import * as statsdMetrics from './statsdMetrics.js';

/** A response that records what is written to it. */
class RecordingResponse extends events.EventEmitter {
  readonly writes: unknown[] = [];
  destroyed = false;
  writableNeedDrain = false;
  readonly caller = new generationResponses.EventStreamResponse(this as unknown as http.ServerResponse);

  write(bytes: unknown): boolean {
    this.writes.push(bytes);
    return !this.writableNeedDrain;
  }

  end(bytes: unknown): void {
    this.writes.push(bytes);
  }

  get text(): string {
    return this.writes.join('');
  }

  /** Sends events, as the connection to an engine passes them on within one turn of the event loop. */
  sendTokens(data: readonly string[]): void {
    for (const [index, text] of data.entries()) {
      this.caller.sendToken(`t.${index}`, index, text);
    }
  }

  sendInTurn(data: readonly string[]): Promise<void> {
    this.sendTokens(data);
    return new Promise((resolve) => setImmediate(resolve));
  }
}

// Guards against an event that reaches the caller without all but the first of its lines.
void test.test('the data of an event of several lines is passed on whole', async () => {
  const response = new RecordingResponse();
  const sent = ['{"a":1}', '{\n"a":\n\n1}', '\n{}\n'];
  await response.sendInTurn(sent);
  const received: string[] = [];
  const parser = eventSource.createParser({
    onEvent: ({ data }) => {
      received.push(data);
    },
  });
  parser.feed(response.text);
  assert.deepEqual(received, sent);
});

// Guards against texts that wait for callers in the heap, and against a write with its objects for each event.
void test.test('events wait for their caller as bytes, those of one turn in one write', async () => {
  const response = new RecordingResponse();
  await response.sendInTurn(Array.from({ length: 40 }, () => '{}'));
  assert.equal(response.writes.length, 1);
  assert.equal(response.text.match(/^data: {}$/gm)?.length, 40);
  const long = 'l'.repeat(500_000);
  await response.sendInTurn([long]);
  assert.equal(response.writes.length, 2);
  assert.ok(response.text.endsWith(`id: t.0\ndata: ${long}\n\n`));
  response.caller.sendRestart('t');
  response.caller.complete();
  assert.ok(response.writes.every((bytes) => Buffer.isBuffer(bytes)));
});

// Guards against events that are collected without a bound while the connection is full.
void test.test('a caller whose connection is full is told so by its next event', async () => {
  const response = new RecordingResponse();
  response.writableNeedDrain = true;
  assert.equal(response.caller.sendToken('t.0', 0, '{}'), false);
  response.writableNeedDrain = false;
  assert.equal(response.caller.sendToken('t.1', 1, '{}'), true);
  response.writableNeedDrain = true;
  assert.equal(response.caller.sendToken('t.2', 2, 'x'.repeat(20_000)), false);
  assert.equal(response.writes.length, 1);
  await response.sendInTurn([]);
  assert.equal(response.writes.length, 1);
});

// Guards against the end of a stream that overtakes its events, and against a write to a connection that has closed.
void test.test(
  'what ends a stream comes after its events, and nothing is written after a close',
  async () => {
    for (const end of ['complete', 'refuse'] as const) {
      const response = Object.assign(new RecordingResponse(), { headersSent: true });
      response.sendTokens(['{"a":1}']);
      if (end === 'complete') {
        response.caller.complete();
      } else {
        response.caller.refuse({ kind: 'interrupted', status: 502, message: '', remedy: '' });
      }
      await response.sendInTurn([]);
      assert.match(
        response.text,
        /^id: t\.0\ndata: \{"a":1\}\n\n(data: \[DONE\]|event: error\n[^\n]*)\n\n$/,
        end,
      );
    }
    const closed = new RecordingResponse();
    closed.sendTokens(['{}']);
    closed.destroyed = true;
    closed.emit('close');
    await closed.sendInTurn(['{}']);
    assert.deepEqual(closed.writes, []);
  },
);

/** An answer that is not streamed, with the room that it has and the body that its caller got. */
class BufferedAnswer {
  readonly lines: string[] = [];
  readonly givenUp: string[] = [];
  body = '';
  readonly memory: responseMemory.ResponseMemory;
  readonly caller: generationResponses.BufferedJsonResponse;
  private readonly connection = new events.EventEmitter();

  constructor(bounds: responseMemory.ResponseBounds = responseMemory.defaultBounds) {
    const write = (event: string): void => {
      this.lines.push(event);
    };
    const log: ports.Log = { debug: write, info: write, warn: write, error: write };
    this.memory = new responseMemory.ResponseMemory(log, statsdMetrics.noop, bounds);
    const response = Object.assign(this.connection, {
      writeHead: () => undefined,
      end: (body: Buffer) => {
        this.body = body.toString();
      },
    });
    this.caller = new generationResponses.BufferedJsonResponse(
      response as unknown as http.ServerResponse,
      '/v1/completions',
      this.memory,
    );
    this.caller.onGivenUp = (reason) => {
      this.givenUp.push(reason);
    };
  }

  send(text: string, others: object = {}): void {
    this.caller.sendToken('t', 0, JSON.stringify({ ...others, choices: [{ text }] }));
  }

  close(): void {
    this.connection.emit('close');
  }
}

// Guards against a heap that is full of the texts of tokens, while their characters are far below any bound.
void test.test('an answer of many short tokens is held in few objects', () => {
  const answer = new BufferedAnswer();
  for (let count = 0; count < 200_000; count += 1) {
    answer.send('a');
  }
  const { bytes, pieces } = answer.memory.held();
  assert.ok(bytes < 300_000 && pieces < 20, `${bytes} bytes in ${pieces} pieces`);
  answer.caller.complete(200_000);
  const { choices } = JSON.parse(answer.body) as { choices: readonly { text: string }[] };
  assert.equal(choices[0]?.text, 'a'.repeat(200_000));
  assert.deepEqual(answer.memory.held(), { bytes: 0, pieces: 0 });
});

// Guards against an engine that never ends an answer, and fills the entry that holds it.
void test.test('an answer above its bound is given up, with a line and a reason', () => {
  const answer = new BufferedAnswer({ perResponse: 10_000, total: 25_000 });
  for (let count = 0; count < 200; count += 1) {
    answer.send('a'.repeat(100));
  }
  assert.deepEqual(answer.givenUp, ['the response has more than 10000 bytes']);
  assert.deepEqual(answer.lines, ['responseGivenUp']);
  assert.deepEqual(answer.memory.held(), { bytes: 0, pieces: 0 });
});

// Guards against memory beside what is counted: the other fields of a chunk, or its names.
void test.test('the names of an answer count, and other fields of its chunks are not kept', () => {
  const named = new BufferedAnswer({ perResponse: 10_000, total: 25_000 });
  named.send('a', { id: 'i'.repeat(20_000) });
  assert.equal(named.givenUp.length, 1);
  const answer = new BufferedAnswer();
  answer.send('a', { others: Array.from({ length: 10_000 }, () => []) });
  assert.ok(answer.memory.held().bytes < 2_000);
});

// Guards against room that stays taken: by the generation before a restart, or of a caller that has left.
void test.test('the room of an answer is given back at a restart and when its caller leaves', () => {
  const answer = new BufferedAnswer();
  answer.send('lost');
  answer.caller.sendRestart();
  assert.equal(answer.memory.held().bytes, 0);
  answer.send('kept');
  answer.caller.complete(1);
  assert.match(answer.body, /"text":"kept"/);
  const left = new BufferedAnswer();
  left.send('a');
  left.close();
  assert.equal(left.memory.held().bytes, 0);
});
