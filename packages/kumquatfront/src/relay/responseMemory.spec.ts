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
const BOUNDS = { perResponse: 100, total: 250 };

// Guards against memory that upstreams fill whose responses do not end.
void test.test('held responses stay within both bounds, and only the largest is given up', () => {
  const step = fastCheck.record({
    response: fastCheck.integer({ min: 0, max: 9 }),
    size: fastCheck.integer({ min: 1, max: 40 }),
    isReleased: fastCheck.integer({ min: 0, max: 19 }).map((number) => number === 0),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { minLength: 40, maxLength: 200 }), (steps) => {
      const memory = new responseMemory.ResponseMemory(log, metrics, BOUNDS);
      const sizes = new Map<number, number>();
      const buffers = Array.from({ length: 10 }, (_, index) => {
        sizes.set(index, 0);
        return memory.openResponse(() => {
          const size = sizes.get(index) ?? 0;
          assert.ok(size > BOUNDS.perResponse || size >= Math.max(...sizes.values()));
          sizes.delete(index);
        });
      });
      for (const { response, size, isReleased } of steps) {
        const held = sizes.get(response);
        if (held !== undefined) {
          sizes.set(response, held + size);
          buffers[response]?.add(Buffer.alloc(size));
        }
        if (isReleased) {
          sizes.delete(response);
          buffers[response]?.release();
        }
        const total = [...sizes.values()].reduce((sum, one) => sum + one, 0);
        assert.ok(total <= BOUNDS.total);
        assert.ok([...sizes.values()].every((one) => one <= BOUNDS.perResponse));
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
  buffer.add(Buffer.from('a'.repeat(60)));
  assert.equal(buffer.content().toString(), 'a'.repeat(60));
  buffer.add(Buffer.from('a'.repeat(60)));
  buffer.add(Buffer.from('a'.repeat(60)));
  assert.deepEqual(reasons, ['the response has more than 100 bytes']);
});
