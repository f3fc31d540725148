/**
 * Readers of an entry that does not sample its load.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as slowReaders from './slowReaders.js';

// Guards against bounds that nothing applies.
void test.test('a caller that has stalled is disconnected without a sample of the load', () => {
  const time = new virtualTime.VirtualTime();
  const lines: string[] = [];
  const write = (event: string): void => {
    lines.push(event);
  };
  const log: ports.Log = { debug: write, info: write, warn: write, error: write };
  const noop = (): void => undefined;
  const readers = slowReaders.startChecked({
    timers: timerService.create(time.clock, time),
    log,
    metrics: { count: noop, gauge: noop, timing: noop },
    memoryMegabytes: 200,
  });
  let unread = 0;
  let disconnected = 0;
  const tracked = readers.track({
    request: 'r',
    unreadBytes: () => unread,
    queuedBytes: () => 0,
    disconnect: () => {
      disconnected += 1;
    },
  });
  tracked.write(() => {
    unread = slowReaders.CALLER_BOUND + 1;
  });
  time.advance(4_800);
  assert.equal(disconnected, 0);
  time.advance(400);
  assert.equal(disconnected, 1);
  assert.deepEqual(lines, ['slowReaderDisconnected']);
});
