/**
 * Updates about many instances arrive in pages.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTable from './instanceTable.js';
import * as instanceTestHarness from './instanceTestHarness.js';
import * as instanceView from './instanceView.js';

const INSTANCES = 200;

/** A table and the view of one reader of it. */
class PagesTest {
  table = new instanceTable.InstanceTable('first');
  readonly gone: string[] = [];
  readonly view = new instanceView.InstanceView(({ changes }) => {
    for (const { instance, event } of changes) {
      if (event === 'gone') {
        this.gone.push(instance.identity);
      }
    }
  });

  announce(from: number, to: number, sequence = 1, now = 0): void {
    for (let index = from; index < to; index += 1) {
      const changes = { address: `i${index}:80`, sequence, slots: sequence };
      this.table.applyAnnouncement(instanceTestHarness.announcement(`i${index}`, changes), now);
    }
  }

  /** Receives one update; returns its number of records. */
  receive(now: number): number {
    const { epoch, revision, listing } = this.view.positionOf('control');
    const update = this.table.updatesSince(epoch, revision, now, listing);
    this.view.merge('control', update, now);
    return update.records.length;
  }

  receiveAll(now: number): void {
    while (this.receive(now) > 0) {
      assert.ok(this.view.positionOf('control').revision <= this.table.currentRevision);
    }
  }

  get known(): number {
    return this.view.readyOf('llm').length;
  }
}

// The list of a whole fleet from each replica filled a narrow link, timed out, and was requested again from its start.
void test.test('the complete list arrives in pages', () => {
  const pages = new PagesTest();
  pages.announce(0, INSTANCES);
  assert.equal(pages.receive(0), instanceTable.MAXIMUM_RECORDS);
  pages.receiveAll(0);
  assert.equal(pages.known, INSTANCES);
});

void test.test('changes made while the list is received are requested when it is complete', () => {
  const pages = new PagesTest();
  pages.announce(0, INSTANCES);
  pages.receive(0);
  pages.table.markDraining('i0', 0);
  pages.announce(INSTANCES, INSTANCES + 5);
  pages.receiveAll(0);
  assert.equal(pages.known, INSTANCES + 4);
});

void test.test('many changes arrive in pages', () => {
  const pages = new PagesTest();
  pages.announce(0, INSTANCES);
  pages.receiveAll(0);
  pages.announce(0, INSTANCES, 2);
  assert.equal(pages.receive(0), instanceTable.MAXIMUM_RECORDS);
  pages.receiveAll(0);
  assert.equal(pages.view.get('i199')?.slots, 2);
});

// A replica that was the only one to list an instance restarts; its first page does not list all instances again.
void test.test('instances on a later page stay listed until the last page has arrived', () => {
  const pages = new PagesTest();
  pages.announce(0, INSTANCES);
  pages.receiveAll(0);
  pages.table = new instanceTable.InstanceTable('second');
  pages.announce(0, INSTANCES - 1, 1, 4_000);
  pages.receive(4_000);
  pages.receive(8_000);
  assert.deepEqual(pages.gone, []);
  pages.receiveAll(8_001);
  assert.deepEqual(pages.gone, ['i199']);
});
