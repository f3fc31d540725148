/**
 * Responses that stream a generation to its caller.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import type * as http from 'node:http';
import * as test from 'node:test';

import * as eventSource from 'eventsource-parser';

import * as generationResponses from './generationResponses.js';

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
