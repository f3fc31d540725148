/**
 * Termination notices that instances give in their responses, independently of control.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTestHarness from './instanceTestHarness.js';
import type * as types from './types.js';

function updateOf(
  epoch: string,
  records: readonly string[],
  removed: readonly string[] = [],
): types.InstanceUpdate {
  return {
    epoch,
    revision: records.length + removed.length,
    whole: false,
    records: records.map((identity) => ({
      ...instanceTestHarness.announcement(identity, { address: `${identity}:80` }),
      age: 0,
      firstAge: 0,
    })),
    removed,
  };
}

void test.test('an instance that has given notice takes no more requests', () => {
  const { view } = instanceTestHarness.createView();
  view.merge('c1', updateOf('e', ['a', 'b']), 0);
  assert.equal(view.recordTerminationNotice('a', 10), true);
  assert.equal(view.recordTerminationNotice('a', 20), false);
  assert.equal(view.isTerminating('a'), true);
  assert.deepEqual(
    view.readyOf('llm').map(({ identity }) => identity),
    ['b'],
  );
});

// Guards against a late announcement from before the notice that reaches control after it has removed the instance.
void test.test('an instance that has given notice stays terminating when control lists it again', () => {
  const { view } = instanceTestHarness.createView();
  view.merge('c1', updateOf('e', ['a', 'b']), 0);
  view.recordTerminationNotice('a', 10);
  view.merge('c1', updateOf('e', ['b'], ['a']), 5_000);
  assert.equal(view.get('a'), undefined);
  view.merge('c1', updateOf('e', ['a', 'b']), 5_500);
  assert.equal(view.isTerminating('a'), true);
});
