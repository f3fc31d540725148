/**
 * Room for responses that are held until they are complete.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import type * as ports from '../kernel/ports.js';
import * as responseMemory from './responseMemory.js';

const noop = (): void => undefined;
const log: ports.Log = { debug: noop, info: noop, warn: noop, error: noop };
const metrics: ports.Metrics = { count: noop, gauge: noop, timing: noop };
const BOUNDS = { perResponse: 10_000, total: 25_000 };

function largestOf(buffers: ReadonlySet<responseMemory.ResponseBuffer>): number {
  return Math.max(...[...buffers].map((buffer) => buffer.memory));
}

function totalOf(buffers: ReadonlySet<responseMemory.ResponseBuffer>, part: 'memory' | 'pieces'): number {
  return [...buffers].reduce((sum, buffer) => sum + buffer[part], 0);
}

// Guards against memory that upstreams fill whose responses do not end, and against counters that the metrics report wrongly.
void test.test('held responses stay within both bounds, and only the largest is given up', () => {
  const step = fastCheck.record({
    response: fastCheck.integer({ min: 0, max: 9 }),
    size: fastCheck.oneof(fastCheck.integer({ min: 1, max: 40 }), fastCheck.integer({ min: 1, max: 4_000 })),
    isReleased: fastCheck.integer({ min: 0, max: 19 }).map((number) => number === 0),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { minLength: 40, maxLength: 200 }), (steps) => {
      const memory = new responseMemory.ResponseMemory(log, metrics, BOUNDS);
      const open = new Set<responseMemory.ResponseBuffer>();
      const buffers = Array.from({ length: 10 }, () => {
        const buffer = memory.openResponse(() => {
          open.delete(buffer);
          assert.ok(buffer.size > BOUNDS.perResponse || buffer.memory >= largestOf(open));
        });
        open.add(buffer);
        return buffer;
      });
      for (const { response, size, isReleased } of steps) {
        const buffer = buffers[response] ?? assert.fail();
        buffer.add(Buffer.alloc(size));
        if (isReleased) {
          buffer.release();
          open.delete(buffer);
        }
        assert.equal(memory.held().bytes, totalOf(open, 'memory'));
        assert.equal(memory.held().pieces, totalOf(open, 'pieces'));
        assert.ok(memory.held().bytes <= BOUNDS.total);
        assert.ok([...open].every((one) => one.size <= BOUNDS.perResponse));
      }
    }),
    { numRuns: 300, seed: 8 },
  );
});

void test.test('a response is given up once, and its content is complete until then', () => {
  const memory = new responseMemory.ResponseMemory(log, metrics, BOUNDS);
  const reasons: string[] = [];
  const buffer = memory.openResponse((reason) => {
    reasons.push(reason);
  });
  buffer.add(Buffer.from('a'.repeat(6_000)));
  assert.equal(buffer.content().toString(), 'a'.repeat(6_000));
  buffer.add(Buffer.from('a'.repeat(6_000)));
  buffer.add(Buffer.from('a'.repeat(6_000)));
  assert.deepEqual(reasons, ['the response has more than 10000 bytes']);
  assert.deepEqual([memory.held().bytes, memory.held().pieces, buffer.memory], [0, 0, 0]);
});

// Guards against a heap that is full of the objects of small pieces, while their bytes are far below the bounds.
void test.test('an answer in pieces of one byte holds about its size in few objects', () => {
  const memory = new responseMemory.ResponseMemory(log, metrics);
  const buffer = memory.openResponse((reason) => assert.fail(reason));
  for (let count = 0; count < 200_000; count += 1) {
    buffer.add(Buffer.alloc(1));
  }
  assert.ok(memory.held().pieces < 20, `${memory.held().pieces} objects`);
  assert.ok(memory.held().bytes < 2 * buffer.size, `${memory.held().bytes} bytes`);
  assert.equal(buffer.content().length, 200_000);
});

// Guards against a bound on memory that refuses whole answers below the stated size.
void test.test('an answer of 8 MiB passes in pieces of any size', () => {
  const { perResponse } = responseMemory.defaultBounds;
  for (const pieceBytes of [977, 8_192, 40_000, 65_536, perResponse]) {
    const memory = new responseMemory.ResponseMemory(log, metrics);
    const buffer = memory.openResponse((reason) => assert.fail(reason));
    while (buffer.size < perResponse) {
      buffer.add(Buffer.alloc(Math.min(pieceBytes, perResponse - buffer.size)));
    }
    assert.equal(buffer.content().length, perResponse);
  }
});

// Guards against bytes that nobody counts because they arrive after their response was given up.
void test.test('bytes after the end of a response are not held', () => {
  const memory = new responseMemory.ResponseMemory(log, metrics, BOUNDS);
  const buffer = memory.openResponse((reason) => assert.fail(reason));
  buffer.add(Buffer.alloc(5));
  buffer.release();
  buffer.add(Buffer.alloc(5));
  assert.deepEqual([buffer.size, memory.held().bytes, memory.held().pieces], [5, 0, 0]);
});
