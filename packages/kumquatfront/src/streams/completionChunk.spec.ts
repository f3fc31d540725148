/**
 * Data of events of engines: any text is parsed or refused, and what is parsed can be aggregated.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as byteCollector from '../buffers/byteCollector.js';
import * as completionAggregator from './completionAggregator.js';
import * as completionChunk from './completionChunk.js';

function aggregate(path: string, answer: readonly completionChunk.CompletionChunk[]): unknown {
  const collector = new byteCollector.ByteCollector();
  const aggregator = new completionAggregator.CompletionAggregator(path, {
    add: (bytes) => collector.append(bytes),
    content: () => collector.content(),
  });
  for (const chunk of answer) {
    aggregator.addChunk(chunk);
  }
  return JSON.parse(aggregator.toJson(answer.length).toString());
}

const choices = fastCheck.array(
  fastCheck.record(
    { text: fastCheck.jsonValue(), delta: fastCheck.jsonValue(), finish_reason: fastCheck.jsonValue() },
    { requiredKeys: [] },
  ),
);
const chunks = fastCheck
  .record(
    { choices: fastCheck.oneof(choices, fastCheck.jsonValue()), id: fastCheck.jsonValue() },
    { requiredKeys: [] },
  )
  .map((chunk) => JSON.stringify(chunk));

// Guards against an event that throws where it is aggregated, which ends the process.
void test.test('any text is a chunk that can be aggregated, or none', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.oneof(fastCheck.string(), fastCheck.json(), chunks), (data) => {
      const chunk = completionChunk.parse(data);
      if (chunk !== undefined) {
        for (const path of ['/v1/completions', '/v1/chat/completions']) {
          assert.doesNotThrow(() => aggregate(path, [chunk]));
        }
      }
    }),
    { numRuns: 2_000, seed: 75 },
  );
});

void test.test('chunks of completions and of chats are parsed', () => {
  for (const data of [
    '{}',
    '{"id":"a","choices":[]}',
    '{"choices":[{"text":"a","finish_reason":null}]}',
    '{"choices":[{"delta":{"content":null}}],"created":1}',
  ]) {
    assert.deepEqual(completionChunk.parse(data), JSON.parse(data));
  }
  for (const data of [
    '',
    'a',
    'null',
    '[]',
    '5',
    '{"choices":[null]}',
    '{"choices":[{"text":{}}]}',
    '{"id":5}',
    // A finish reason is kept until the end, beside what is bounded.
    `{"choices":[{"finish_reason":"${'a'.repeat(65)}"}]}`,
  ]) {
    assert.equal(completionChunk.parse(data), undefined, data);
  }
});

// Guards against an answer whose text is changed where chunks end: within a pair of surrogates, or at a character that JSON escapes.
void test.test('the text of an answer is that of its chunks, wherever they end', () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.string({ unit: 'binary' }),
      fastCheck.integer({ min: 1, max: 3 }),
      (text, length) => {
        const pieces = Array.from({ length: Math.ceil(text.length / length) }, (_, index) =>
          text.slice(index * length, (index + 1) * length),
        );
        const named = { id: 'i"', model: 'm', created: 7 };
        const count = pieces.length;
        assert.deepEqual(
          aggregate(
            '/v1/completions',
            pieces.map((piece) => ({ ...named, choices: [{ text: piece, finish_reason: 'length' }] })),
          ),
          {
            ...(count > 0 ? named : { id: '', model: '', created: 0 }),
            object: 'text_completion',
            choices: [{ index: 0, text, finish_reason: count > 0 ? 'length' : 'stop', logprobs: null }],
            usage: { completion_tokens: count },
          },
        );
        assert.deepEqual(
          aggregate(
            '/v1/chat/completions',
            pieces.map((piece) => ({ choices: [{ delta: { content: piece } }] })),
          ),
          {
            ...{ id: '', object: 'chat.completion', created: 0, model: '' },
            choices: [{ index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }],
            usage: { completion_tokens: count },
          },
        );
      },
    ),
    { numRuns: 500, seed: 78 },
  );
});
