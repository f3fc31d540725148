/**
 * Data of events of engines: any text is parsed or refused, and what is parsed can be aggregated.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as completionAggregator from './completionAggregator.js';
import * as completionChunk from './completionChunk.js';

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
          const aggregator = new completionAggregator.CompletionAggregator(path);
          aggregator.addChunk(chunk);
          JSON.parse(aggregator.toJson(1));
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
  ]) {
    assert.equal(completionChunk.parse(data), undefined, data);
  }
});
