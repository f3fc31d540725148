/**
 * Instances that a control replica on older software listed although no process can use them.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTable from '../instances/instanceTable.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as controlTestHarness from './controlTestHarness.js';
import * as instanceGossip from './instanceGossip.js';

const SEEDS = ['c1', 'c2', 'c3'];

// Guards against instances in the lists of a replica that accepted them before announcements were checked.
void test.test('an instance that cannot be used is listed by no other replica and no entry', () => {
  const harness = new controlTestHarness.ControlTestHarness(SEEDS);
  harness.time.advance(3_000);
  const entry = harness.watch('e1');
  harness.time.advance(1_000);
  const sound = controlTestHarness.announcementOf('i1', 1);
  const unreadable = { ...sound, identity: '\u0001', name: '\u0001' };
  const elsewhere = { ...sound, identity: 'i2', name: 'i2', address: '10.0.0.1:99999' };
  // The door of the older replica let these pass.
  for (const announcement of [unreadable, elsewhere, sound]) {
    harness.trafficOf('c2').announce(announcement);
  }
  harness.time.advance(1_000);
  assert.deepEqual(
    entry.view.readyOf('llm').map(({ identity }) => identity),
    ['i1'],
  );
  harness.kill('c2');
  harness.time.advance(1_000);
  const later = harness.watch('e2');
  harness.time.advance(1_000);
  assert.deepEqual(
    later.view.readyOf('llm').map(({ identity }) => identity),
    ['i1'],
  );
});

// Guards against placing requests on such an instance, which a replica does with its own list.
void test.test('a replica adds no instance that cannot be used, whoever lists it', () => {
  const time = new virtualTime.VirtualTime();
  const noop = (): void => undefined;
  const table = new instanceTable.InstanceTable('epoch');
  const gossip = new instanceGossip.InstanceGossip({
    table,
    timers: timerService.create(time.clock, time),
    log: { debug: noop, info: noop, warn: noop, error: noop },
    peers: { serve: noop, request: noop, notify: noop },
    peerAddress: 'c1',
    memberAddresses: () => [],
    notifyEntries: noop,
    notifyCoordinator: noop,
  });
  const sound = controlTestHarness.announcementOf('i1', 1);
  const unusable = { ...sound, identity: 'i2', name: 'i2\r\n' };
  const ages = { age: 0, firstAge: 0 };
  gossip.mergeGossip([{ ...unusable, ...ages }]);
  gossip.addReported([unusable], 'e1');
  assert.deepEqual(table.records(0), []);
  gossip.mergeGossip([{ ...sound, ...ages }]);
  assert.equal(table.records(0).length, 1);
});
