/**
 * A real entry with the heap of the deploy file, filled by what no bound counts: calls that wait for an upstream which never answers.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as announcements from './announcements.js';
import * as sleep from './sleep.js';
import * as smallSystem from './smallSystem.js';
import * as timedCalls from './timedCalls.js';
import * as waitingCalls from './waitingCalls.js';

/** Memory of the machine of an entry, as the deployment states it. */
const MEMORY_MEGABYTES = 200;

/** As many as the bound on connections admits; at 56 KB each with such heads, they would take 129 MB of a heap of 90. */
const CALLS = 2_300;
const HEAD_BYTES = 8_000;

/** Time left of a call; also the time limit of the route. */
const TIME_LEFT = 6_000;

const SILENT_HOST = '127.0.25.9';
const ORDINARY_HOST = '127.0.25.8';
const ANNOUNCED_MS = 2_000;
const BYTES_PER_MEGABYTE = 1_048_576;

// Guards against an entry that ends with all that it serves, because it takes requests for which its heap has no room.
void test.test(
  'an entry whose heap is nearly full refuses, does not end, and serves again',
  async (context) => {
    const system = await smallSystem.SmallSystem.start(1, {
      settings: { capacity: { memoryMegabytes: MEMORY_MEGABYTES } },
    });
    const { ports } = system;
    const [entry] = system.entries;
    const silent = waitingCalls.listenSilently(SILENT_HOST, ports.instance);
    const ordinary = system.startUpstream('ordinary', 'fragile', ORDINARY_HOST);
    const announced = { identity: 'silent', service: 'app', host: SILENT_HOST, port: ports.instance };
    const stopAnnouncing = announcements.start(announced, system.controlAddress);
    try {
      assert.ok(entry !== undefined);
      const address = { host: entry.host, port: ports.caller };
      const ordinaryCall = { ...address, route: 'fragile', timeLeft: 2_000 };
      await system.configure();
      await timedCalls.untilServed(ordinaryCall);
      await sleep.forMilliseconds(ANNOUNCED_MS);
      const { processId } = entry;

      const calls = { route: 'lookUp', count: CALLS, headBytes: HEAD_BYTES, timeLeft: TIME_LEFT };
      const results = await waitingCalls.sendAll({ ...address, ...calls });
      await timedCalls.untilServed(ordinaryCall);
      assert.deepEqual([entry.unexpectedExits, entry.processId], [0, processId], entry.log.slice(-2_000));
      assert.match(entry.log, /event=newRequestsRefused /);
      const peakMegabytes = entry.peakBytes / BYTES_PER_MEGABYTE;
      assert.ok(peakMegabytes < MEMORY_MEGABYTES, `${peakMegabytes} MB`);
      const refused = results.filter(({ status }) => status === 503);
      context.diagnostic(`${refused.length} of ${CALLS} refused, ${Math.round(peakMegabytes)} MB at most`);
      assert.ok(refused.length > 0);
      assert.ok(refused.every(({ isClosed }) => isClosed));
      assert.ok(refused.every(({ retryAfter }) => Number(retryAfter) > 0));
    } finally {
      stopAnnouncing();
      system.stop();
      ordinary.close();
      silent.close();
    }
  },
);
