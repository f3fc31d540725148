/**
 * How much an entry writes of instances, however many there are.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as controlBench from '../trafficControl/controlBench.js';
import * as instanceLog from './instanceLog.js';
import * as instanceTable from './instanceTable.js';
import * as instanceView from './instanceView.js';

const INSTANCES = 600;
const REPLICAS = ['c1', 'c2', 'c3', 'c4', 'c5'];

/** A log that keeps the fields of its lines. */
function keptLog(): { readonly log: ports.Log; readonly lines: ports.LogFields[] } {
  const lines: ports.LogFields[] = [];
  const silent = (): void => undefined;
  const log: ports.Log = {
    ...{ debug: silent, warn: silent, error: silent },
    info: (_event, fields) => lines.push(fields ?? {}),
  };
  return { log, lines };
}

/** Lines of an entry that hears of a whole fleet from every replica. */
function linesOfFleet(): readonly ports.LogFields[] {
  const { log, lines } = keptLog();
  const view = new instanceView.InstanceView((news) => {
    instanceLog.write(log, news);
  });
  for (const replica of REPLICAS) {
    const table = new instanceTable.InstanceTable(replica);
    for (let index = 0; index < INSTANCES; index += 1) {
      table.hear(controlBench.announcementOf(`i${index}`, 1), 0);
    }
    view.merge(replica, table.newsSince('', 0, 0), 0);
  }
  return lines;
}

// An entry that starts hears of six hundred instances from five replicas. Three hundred entries that write a line for
// each of them fill the disks of whoever collects logs, and hide the lines about requests.
void test.test('a fleet that is heard of costs one line for thirty instances, whoever tells of it', () => {
  const lines = linesOfFleet();
  assert.equal(lines.length, INSTANCES / instanceLog.INSTANCES_A_LINE);
  assert.deepEqual(lines[0]?.control, 'c1');
});

void test.test('what leaves and what is gone are told apart, with the revisions of the replica', () => {
  const { log, lines } = keptLog();
  const instance = { ...controlBench.announcementOf('i1', 1), firstAt: 0, coldUntil: 0 };
  const other = { ...controlBench.announcementOf('i2', 1), firstAt: 0, coldUntil: 0 };
  const changes = [
    { instance, event: 'leaving' },
    { instance: other, event: 'gone' },
  ] as const;
  instanceLog.write(log, { source: 'c1', revisionBefore: 4, revision: 6, changes });
  assert.deepEqual(lines, [{ control: 'c1', revisionBefore: 4, revision: 6, leaving: 'i1', gone: 'i2' }]);
});
