/**
 * Volume and content of the log lines about instances.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as controlTestHarness from '../trafficControl/controlTestHarness.js';
import * as instanceLog from './instanceLog.js';
import * as instanceTable from './instanceTable.js';
import * as instanceView from './instanceView.js';

const INSTANCES = 600;
const REPLICAS = ['c1', 'c2', 'c3', 'c4', 'c5'];

/** Creates a log that records the fields of its lines. */
function createRecordingLog(): { readonly log: ports.Log; readonly lines: ports.LogFields[] } {
  const lines: ports.LogFields[] = [];
  const ignore = (): void => undefined;
  const log: ports.Log = {
    ...{ debug: ignore, warn: ignore, error: ignore },
    info: (_event, fields) => lines.push(fields ?? {}),
  };
  return { log, lines };
}

/** Returns the log lines of an entry that receives the complete fleet from every replica. */
function logLinesForFleet(): readonly ports.LogFields[] {
  const { log, lines } = createRecordingLog();
  const view = new instanceView.InstanceView((update) => {
    instanceLog.write(log, update);
  });
  for (const replica of REPLICAS) {
    const table = new instanceTable.InstanceTable(replica);
    for (let index = 0; index < INSTANCES; index += 1) {
      table.applyAnnouncement(controlTestHarness.announcementOf(`i${index}`, 1), 0);
    }
    do {
      const { epoch, revision, listing } = view.positionOf(replica);
      view.merge(replica, table.updatesSince(epoch, revision, 0, listing), 0);
    } while (view.positionOf(replica).listing !== undefined);
  }
  return lines;
}

// Guards against one log line for each instance and replica when an entry starts in a large fleet.
void test.test('a new fleet is logged with thirty instances per line, once for all replicas', () => {
  const lines = logLinesForFleet();
  assert.equal(lines.length, INSTANCES / instanceLog.INSTANCES_PER_LINE);
  assert.deepEqual(lines[0]?.control, 'c1');
});

void test.test(
  'draining and removed instances are logged separately, with the revisions of the replica',
  () => {
    const { log, lines } = createRecordingLog();
    const instance = { ...controlTestHarness.announcementOf('i1', 1), firstSeenAt: 0, coldUntil: 0 };
    const other = { ...controlTestHarness.announcementOf('i2', 1), firstSeenAt: 0, coldUntil: 0 };
    const changes = [
      { instance, event: 'leaving' },
      { instance: other, event: 'gone' },
    ] as const;
    instanceLog.write(log, { source: 'c1', revisionBefore: 4, revision: 6, changes });
    assert.deepEqual(lines, [{ control: 'c1', revisionBefore: 4, revision: 6, leaving: 'i1', gone: 'i2' }]);
  },
);
