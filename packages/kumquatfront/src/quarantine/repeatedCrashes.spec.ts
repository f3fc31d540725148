/**
 * Regression test for a request that crashes every upstream that runs it. Without shared crash records, resumes and
 * retries at other entries take down one upstream after another until none is left.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as crashTestHarness from './crashTestHarness.js';

const CRASHING_CONTENT = 'kills';

/** Number of crashes that quarantine a request, and number of sends still allowed afterwards. */
const CRASHES_TO_QUARANTINE = 3;
const MAXIMUM_LATE_SENDS = 3;

/** Time after the third crash within which every entry must have received the quarantine. */
const PROPAGATION_LIMIT = 3_000;

function effectOf(content: string): crashTestHarness.Effect {
  return content === CRASHING_CONTENT ? 'crashes' : 'served';
}

/** Sends the crashing request to one entry after another, with a retry at another entry, among other requests. */
function simulateRetries(
  harness: crashTestHarness.CrashTestHarness,
  service: crashTestHarness.ServiceName,
  rounds: number,
): void {
  const { entryNames } = harness;
  const entryAt = (index: number): string => entryNames[index % entryNames.length] ?? '';
  for (let round = 0; round < rounds; round += 1) {
    harness.time.after(round * 700, () => {
      harness.sendRequest(entryAt(round * 3), service, CRASHING_CONTENT, (first) => {
        if (first.outcome !== 'served') {
          harness.time.after(300, () => {
            harness.sendRequest(entryAt(round * 3 + 1), service, CRASHING_CONTENT);
          });
        }
      });
    });
    harness.time.after(round * 700 + 200, () => {
      harness.sendRequest(entryAt(round), service, `other ${round}`);
    });
  }
  harness.time.advance(rounds * 700 + 10_000);
}

function thirdCrashAt(harness: crashTestHarness.CrashTestHarness): number {
  const third = harness.upstreams.crashes.filter(({ content }) => content === CRASHING_CONTENT)[
    CRASHES_TO_QUARANTINE - 1
  ];
  assert.ok(third !== undefined, 'fewer upstreams crashed than a quarantine needs');
  return third.at;
}

function sendsAfter(harness: crashTestHarness.CrashTestHarness, time: number): number {
  return harness.upstreams.arrivals.filter(({ content, at }) => content === CRASHING_CONTENT && at > time)
    .length;
}

for (const service of ['llm', 'app'] as const) {
  void test.test(`a request is not sent any more after it has crashed three upstreams (${service})`, () => {
    const harness = new crashTestHarness.CrashTestHarness(7, { llm: 6, app: 4 }, effectOf);
    simulateRetries(harness, service, 40);
    const late = sendsAfter(harness, thirdCrashAt(harness) + PROPAGATION_LIMIT);
    assert.ok(late <= MAXIMUM_LATE_SENDS, `sent ${late} times later`);
  });
}
