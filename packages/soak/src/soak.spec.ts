/**
 * A short seeded soak of the real processes; `npm run soak:processes` executes many.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as invariantChecker from './invariantChecker.js';
import * as loopbackProxy from './loopbackProxy.js';
import * as freePorts from './freePorts.js';
import * as soakRun from './soakRun.js';

// Guards against duplicate executions, false "not run" answers, foreign or truncated answers and lost acknowledged
// changes while processes are killed, frozen, stopped and partitioned.
void test.test('a short soak of the real processes violates no invariant', async () => {
  const outcome = await soakRun.run(
    { seed: 1, faultSeconds: 4, entries: 2, clients: 6 },
    (from, to) => new loopbackProxy.LoopbackProxy(from, to),
  );
  assert.deepEqual(outcome.violations, []);
  assert.ok(outcome.counts.served > 0);
});

// Guards against two processes of one run on the same port: the second fails to start with its address in use.
void test.test('ports that are allocated together are distinct', async () => {
  const ports = await freePorts.allocate(400);
  assert.equal(new Set(ports).size, 400);
});

void test.test(
  'the checker detects a second execution, a false "not run", a foreign answer and a stale read',
  () => {
    const checker = new invariantChecker.InvariantChecker();
    checker.recordExecution('a1', false);
    checker.recordExecution('a1', false);
    checker.recordOutcome({ identity: 'a1', kind: 'payment', status: 503, body: '', complete: true });
    checker.recordOutcome({
      identity: 'b2',
      kind: 'payment',
      status: 200,
      body: invariantChecker.bodyOf('a1'),
      complete: true,
    });
    checker.recordRead(3, 4);
    assert.deepEqual(
      checker.violations.map(
        (violation) => /ran 2 times|has run|not its own|version 3 after 4/.exec(violation)?.[0],
      ),
      ['ran 2 times', 'has run', 'not its own', 'version 3 after 4'],
    );
  },
);

void test.test('the checker accepts a stream that was visibly truncated, but no gap in it', () => {
  const checker = new invariantChecker.InvariantChecker();
  const firstEvent = invariantChecker.eventOf('a1', 1);
  checker.recordOutcome({ identity: 'a1', kind: 'stream', status: 200, body: firstEvent, complete: false });
  assert.deepEqual(checker.violations, []);
  checker.recordOutcome({
    identity: 'a1',
    kind: 'stream',
    status: 200,
    body: firstEvent + invariantChecker.eventOf('a1', 3),
    complete: false,
  });
  checker.recordOutcome({ identity: 'a1', kind: 'stream', status: 200, body: firstEvent, complete: true });
  assert.equal(checker.violations.length, 2);
});
