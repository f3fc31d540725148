/**
 * A short seeded run of the real programs; `npm run soak:processes` plays many.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as ledger from './ledger.js';
import * as loopbackProxy from './loopbackProxy.js';
import * as portDraw from './portDraw.js';
import * as soakRun from './soakRun.js';

// Processes are killed, frozen, stopped and cut off while clients call and an operator changes the configuration.
// Nobody is charged twice, no "not run" is false, no answer is another's or half, and nothing acknowledged is lost.
void test.test('a short soak of the real programs keeps every promise', async () => {
  const outcome = await soakRun.play(
    { seed: 1, troubleSeconds: 4, entries: 2, clients: 6 },
    (from, to) => new loopbackProxy.LoopbackProxy(from, to),
  );
  assert.deepEqual(outcome.faults, []);
  assert.ok(outcome.counts.served > 0);
});

// Two programs of one run on one port: the second ends at its start, and the run fails for nothing that it tests.
void test.test('ports that are drawn together are different', async () => {
  const ports = await portDraw.draw(400);
  assert.equal(new Set(ports).size, 400);
});

void test.test('the ledger sees a second run, a false "not run" and an answer of another', () => {
  const book = new ledger.Ledger();
  book.ran('a1', false);
  book.ran('a1', false);
  book.told({ identity: 'a1', kind: 'payment', status: 503, body: '', whole: true });
  book.told({ identity: 'b2', kind: 'payment', status: 200, body: ledger.bodyOf('a1'), whole: true });
  book.read(3, 4);
  assert.deepEqual(
    book.faults.map((fault) => /ran 2 times|has run|not its own|version 3 after 4/.exec(fault)?.[0]),
    ['ran 2 times', 'has run', 'not its own', 'version 3 after 4'],
  );
});

void test.test('the ledger lets a stream that visibly broke off pass, and no gap in it', () => {
  const book = new ledger.Ledger();
  const first = ledger.eventOf('a1', 1);
  book.told({ identity: 'a1', kind: 'stream', status: 200, body: first, whole: false });
  assert.deepEqual(book.faults, []);
  book.told({
    identity: 'a1',
    kind: 'stream',
    status: 200,
    body: first + ledger.eventOf('a1', 3),
    whole: false,
  });
  book.told({ identity: 'a1', kind: 'stream', status: 200, body: first, whole: true });
  assert.equal(book.faults.length, 2);
});
