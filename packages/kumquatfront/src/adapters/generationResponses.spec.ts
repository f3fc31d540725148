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

// Guards against an event that reaches the caller without all but the first of its lines.
void test.test('the data of an event of several lines is passed on whole', () => {
  let written = '';
  const response = Object.assign(new events.EventEmitter(), {
    write: (text: string) => {
      written += text;
      return true;
    },
  });
  const caller = new generationResponses.EventStreamResponse(response as unknown as http.ServerResponse);
  const sent = ['{"a":1}', '{\n"a":\n\n1}', '\n{}\n'];
  for (const [index, data] of sent.entries()) {
    caller.sendToken(`t.${index}`, index, data);
  }
  const received: string[] = [];
  const parser = eventSource.createParser({
    onEvent: ({ data }) => {
      received.push(data);
    },
  });
  parser.feed(written);
  assert.deepEqual(received, sent);
});

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
