/**
 * The forecast of the time to the first event.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as readingPace from './readingPace.js';

void test.test('the time to the first event grows with what must be read before it', () => {
  const pace = new readingPace.ReadingPace();
  const alone = pace.timeToFirstEvent('llm', 3_000);
  const behindAnother = pace.timeToFirstEvent('llm', 6_000);
  assert.ok(alone > 300 && alone < 700, `${alone}`);
  assert.ok(behindAnother > alone + 300, `${behindAnother}`);
});

void test.test(
  'engines that read faster are believed after some tens of generations, each service by itself',
  () => {
    const pace = new readingPace.ReadingPace();
    for (let count = 0; count < 100; count += 1) {
      pace.learn('fast', 3_000, 40 + 3_000 / 14);
    }
    assert.ok(Math.abs(pace.timeToFirstEvent('fast', 3_000) - 254) < 20);
    assert.equal(
      pace.timeToFirstEvent('other', 3_000),
      new readingPace.ReadingPace().timeToFirstEvent('other', 3_000),
    );
  },
);

// One engine hangs and its generation begins seconds late. If that were taken for the pace of all, everything
// would look late, and callers would be refused beside idle engines.
void test.test('one engine that hangs does not make all look slow', () => {
  const pace = new readingPace.ReadingPace();
  const before = pace.timeToFirstEvent('llm', 3_000);
  pace.learn('llm', 3_000, 60_000);
  assert.ok(pace.timeToFirstEvent('llm', 3_000) < before * 1.05);
});
