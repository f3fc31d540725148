/**
 * Memory of a process whose file descriptors are used up.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as virtualTime from '../kernel/virtualTime.js';
import * as processLoad from './processLoad.js';

// Guards against an entry that ends because many connections use up its descriptors: reading its memory needs one.
void test.test('the last figure of the memory stands while it cannot be read', () => {
  const time = new virtualTime.VirtualTime();
  let isReadable = true;
  const probe = processLoad.create(time.clock, time, () => {
    if (!isReadable) {
      throw new Error('EMFILE: too many open files');
    }
    return 100;
  });
  assert.equal(probe.residentBytes(), 100);
  isReadable = false;
  assert.equal(probe.residentBytes(), 100);
});
