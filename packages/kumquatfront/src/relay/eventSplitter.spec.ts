/**
 * Events of a stream, however their bytes are cut.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as v8 from 'node:v8';

import * as fastCheck from 'fast-check';

import * as eventSplitter from './eventSplitter.js';

type Push = (splitter: eventSplitter.EventSplitter, piece: Buffer) => readonly Buffer[];

const pushEach: Push = (splitter, piece) => splitter.push(piece).map(({ bytes }) => bytes);
const pushTogether: Push = (splitter, piece) => [splitter.pushTogether(piece)];

/** Splits a stream that arrives in pieces of the given lengths, in turn; returns its events and the rest. */
function split(stream: Buffer, lengths: readonly number[], push = pushEach): readonly string[] {
  const splitter = new eventSplitter.EventSplitter();
  const found: string[] = [];
  for (let offset = 0, index = 0; offset < stream.length; index += 1) {
    const length = lengths[index % lengths.length] ?? 1;
    const piece = Buffer.allocUnsafeSlow(Math.min(length, stream.length - offset));
    piece.set(stream.subarray(offset, offset + length));
    found.push(...push(splitter, piece).map((bytes) => bytes.toString('latin1')));
    offset += length;
  }
  const incomplete = splitter.incompleteBytes;
  const remainder = splitter.takeRemainder();
  assert.equal(remainder.length, incomplete);
  return [...found, remainder.toString('latin1')];
}

// Guards against events that are cut, joined or lost where a terminator is spread over pieces.
void test.test('events do not depend on the pieces in which they arrive', () => {
  const texts = fastCheck.array(
    fastCheck.constantFrom('a', 'id: 7', ': x', '\n', '\n\n', '\r\n', '\r\n\r\n', '\r\r', 'b'.repeat(3_000)),
    { maxLength: 40 },
  );
  const lengths = fastCheck.array(fastCheck.integer({ min: 0, max: 50 }), { maxLength: 9 });
  fastCheck.assert(
    fastCheck.property(texts, lengths, (parts, cuts) => {
      const stream = Buffer.from(parts.join(''));
      // Two orders of a carriage return make an event that ends one byte earlier or later.
      fastCheck.pre(!/\r\r\n|\n\r(?!\n)/.test(stream.toString()));
      const events = split(stream, [stream.length + 1]);
      assert.deepEqual(split(stream, [...cuts, 7]), events);
      const together = split(stream, [...cuts, 7], pushTogether);
      assert.equal(together.join(''), stream.toString());
      // Line ends behind an event may belong to it or to the next one.
      const restOf = (texts: readonly string[]): string | undefined => texts.at(-1)?.replace(/^[\r\n]+/, '');
      assert.equal(restOf(together), restOf(events));
    }),
    { numRuns: 300, seed: 8 },
  );
});

// Guards against an object for each piece of an event, on every stream that an upstream has.
void test.test('an incomplete event in pieces of one byte holds few objects', () => {
  const splitter = new eventSplitter.EventSplitter();
  const before = v8.queryObjects(Uint8Array, { format: 'count' });
  for (let count = 0; count < 100_000; count += 1) {
    splitter.push(Buffer.alloc(1, 'x'));
  }
  const held = v8.queryObjects(Uint8Array, { format: 'count' }) - before;
  assert.equal(splitter.incompleteBytes, 100_000);
  assert.ok(held < 50, `${held} objects`);
});
