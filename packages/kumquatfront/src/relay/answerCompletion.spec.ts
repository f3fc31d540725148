/**
 * Completeness of answers: properties over framings, cuts, line ends, and the way in which bytes arrive.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as answerCompletion from './answerCompletion.js';
import * as eventSplitter from './eventSplitter.js';
import * as relayTestHarness from './relayTestHarness.js';
import type * as types from './types.js';

interface SentStream {
  readonly events: readonly string[];
  readonly framing: types.BodyFraming;
  readonly lineEnd: string;
}

const streams: fastCheck.Arbitrary<SentStream> = fastCheck
  .record({
    dataLines: fastCheck.array(
      fastCheck.array(fastCheck.stringMatching(/^[a-z :]{0,6}$/), { maxLength: 3 }),
      {
        maxLength: 5,
      },
    ),
    framing: fastCheck.constantFrom<types.BodyFraming>('length', 'chunked', 'connection'),
    lineEnd: fastCheck.constantFrom('\n', '\r\n', '\r'),
  })
  .map(({ dataLines, framing, lineEnd }) => ({
    events: dataLines.map((lines, index) =>
      [`id: ${index}`, ...lines.map((line) => `data: ${line}`), '', ''].join(lineEnd),
    ),
    framing,
    lineEnd,
  }));

/** Feeds a text in pieces, and returns what the relay makes of it. */
function receive(
  text: string,
  cuts: readonly number[],
  framing: types.BodyFraming,
): { readonly events: readonly string[]; readonly completion: answerCompletion.AnswerCompletion } {
  const completion = new answerCompletion.AnswerCompletion(true);
  const splitter = new eventSplitter.EventSplitter();
  const events: string[] = [];
  completion.recordHead({ ...relayTestHarness.okHead, framing });
  const positions = [0, ...cuts.map((cut) => cut % (text.length + 1)), text.length];
  positions.sort((left, right) => left - right);
  for (const [index, from] of positions.slice(0, -1).entries()) {
    const bytes = Buffer.from(text.slice(from, positions[index + 1]));
    completion.recordData(bytes);
    events.push(...splitter.push(bytes).map((event) => event.bytes.toString()));
  }
  return { events, completion };
}

void test.test('whole streams are complete, in any framing, with any line ends, however they arrive', () => {
  fastCheck.assert(
    fastCheck.property(streams, fastCheck.array(fastCheck.nat()), ({ events, framing }, cuts) => {
      const received = receive(events.join(''), cuts, framing);
      assert.deepEqual(received.events, events);
      assert.equal(received.completion.atEnd(), framing === 'connection' ? 'unconfirmed' : 'complete');
      assert.equal(received.completion.hasEvent, events.length > 0);
    }),
  );
});

// Guards against a partial event that reaches the caller, or a cut within an event that passes for the end of the stream.
void test.test(
  'a stream that ends within an event is cut off, and no part of that event is passed on',
  () => {
    fastCheck.assert(
      fastCheck.property(
        streams,
        fastCheck.array(fastCheck.nat()),
        fastCheck.nat(),
        ({ events, framing }, cuts, position) => {
          const text = events.join('');
          const end = position % (text.length + 1);
          const received = receive(text.slice(0, end), cuts, framing);
          let boundary = 0;
          const whole = events.filter((event) => {
            boundary += event.length;
            return boundary <= end;
          });
          const isWithinEvent = whole.join('').length !== end;
          assert.deepEqual(received.events, whole);
          assert.equal(received.completion.atEnd() === 'cutOff', isWithinEvent);
        },
      ),
    );
  },
);

// Servers send comments to keep connections open, before they begin to write the answer.
void test.test('comments are no events', () => {
  assert.equal(receive(': waiting\n\n: waiting\n\n', [], 'chunked').completion.hasEvent, false);
  assert.equal(receive(': waiting\n\ndata: 1\n\n', [], 'chunked').completion.hasEvent, true);
});

void test.test('plain answers are never cut off within an event', () => {
  const completion = new answerCompletion.AnswerCompletion(false);
  completion.recordHead(relayTestHarness.okHead);
  completion.recordData(Buffer.from('balance: 12'));
  assert.equal(completion.atEnd(), 'complete');
});

void test.test('a stream route may give a plain answer', () => {
  const completion = new answerCompletion.AnswerCompletion(true);
  completion.recordHead({ ...relayTestHarness.okHead, headers: [['Content-Type', 'application/json']] });
  completion.recordData(Buffer.from('{"text":"whole"}'));
  assert.equal(completion.atEnd(), 'complete');
});

// Guards against an event that is found at another place than where the relay ends it, and so is the answer of a crash.
void test.test('the first event is the one that the relay passes on first, comments aside', () => {
  const anyText = fastCheck.string({
    unit: fastCheck.constantFrom('\n', '\r', '\r\n', ':', 'a'),
    maxLength: 20,
  });
  fastCheck.assert(
    fastCheck.property(anyText, fastCheck.array(fastCheck.nat()), (text, cuts) => {
      const { events, completion } = receive(text, cuts, 'chunked');
      const isEvent = (event: string): boolean => !eventSplitter.isCommentOnly({ bytes: Buffer.from(event) });
      assert.equal(completion.hasEvent, events.some(isEvent), JSON.stringify(text));
    }),
    { numRuns: 3_000, seed: 78 },
  );
});

// Guards against a second copy of each first event, which no bound and no metric counts.
void test.test('nothing of an event that does not end is held to tell whether it has ended', () => {
  const completion = new answerCompletion.AnswerCompletion(true);
  completion.recordHead(relayTestHarness.okHead);
  const piece = Buffer.alloc(1_000, 'x');
  const before = process.memoryUsage().arrayBuffers;
  for (let count = 0; count < 10_000; count += 1) {
    completion.recordData(piece);
  }
  const grown = process.memoryUsage().arrayBuffers - before;
  assert.ok(grown < 2_000_000, `${grown} bytes`);
  assert.equal(completion.hasEvent, false);
});
