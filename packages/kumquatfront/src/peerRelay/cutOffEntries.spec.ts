/** Entries that reach no upstream, in a complete system on virtual time. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as crashTestHarness from '../quarantine/crashTestHarness.js';

const UPSTREAMS = { llm: 4, app: 9 };

/** Time from the start of a cut to the first request that counts. */
const DETECTION_TIME = 3_000;

const FORMS: readonly crashTestHarness.CutForm[] = ['silent', 'reset', 'newRefused'];

/** Seven entries: e1, e4 and e7 in data centre b, e2 and e5 in c, e3 and e6 in a. */
function createSystem(seed = 3): crashTestHarness.CrashTestHarness {
  return new crashTestHarness.CrashTestHarness(7, UPSTREAMS, () => 'served', seed, ['a', 'b', 'c']);
}

const EXTENTS: Readonly<Record<string, readonly string[]>> = {
  some: ['e1', 'e2', 'e3'],
  'a whole data centre': ['e1', 'e4', 'e7'],
  'nearly all': ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'],
};

/** Sends each entry calls of all kinds at a constant rate. */
function sendLoad(system: crashTestHarness.CrashTestHarness, length: number, seed = 11): void {
  const random = seededRandom.create(seed);
  const { entryNames } = system;
  let count = 0;
  for (let at = 0; at < length; at += 25) {
    const entry = entryNames[Math.floor(random.next() * entryNames.length)] ?? '';
    const draw = random.next();
    const route = draw < 0.2 ? 'llm' : draw < 0.6 ? 'app' : 'orders';
    count += 1;
    const content = `request ${seed}.${count}`;
    system.time.after(at, () => {
      system.sendRequest(entry, route, content);
    });
  }
  system.time.advance(length);
}

interface ServedShare {
  readonly served: number;
  readonly all: number;
}

/** First tries served of those sent between two times to entries of a group. */
function servedShare(
  system: crashTestHarness.CrashTestHarness,
  from: number,
  until: number,
  isInGroup: (entry: string) => boolean,
): ServedShare {
  const attempts = system.attempts.filter(
    ({ startedAt, entry }) => startedAt >= from && startedAt < until && isInGroup(entry),
  );
  const served = attempts.filter(({ outcome }) => outcome === 'served');
  return { served: served.length, all: attempts.length };
}

/** Asserts that a group of entries serves first tries as often as the others, with one failure in 50 at most. */
function assertServedAlike(group: ServedShare, others: ServedShare, label: string): void {
  const detail = `${label}: ${group.served} of ${group.all}, the others ${others.served} of ${others.all}`;
  assert.ok(group.all > 20 && others.all > 20, detail);
  assert.ok(group.served / group.all >= 0.98 * (others.served / others.all), detail);
  assert.ok(others.served / others.all >= 0.98, detail);
}

// Guards against entries that refuse their callers for as long as they reach no upstream themselves.
void test.test('entries that reach no upstream serve first tries as the others do', () => {
  for (const form of FORMS) {
    for (const [extent, cutOff] of Object.entries(EXTENTS)) {
      const system = createSystem();
      sendLoad(system, 2_000);
      const cutAt = system.time.now();
      for (const entry of cutOff) {
        system.cutOff(entry, form);
      }
      sendLoad(system, DETECTION_TIME + 9_000, 12);
      const end = system.time.now();
      system.time.advance(10_000);
      const from = cutAt + DETECTION_TIME;
      const group = servedShare(system, from, end, (entry) => cutOff.includes(entry));
      const others = servedShare(system, from, end, (entry) => !cutOff.includes(entry));
      assertServedAlike(group, others, `${extent}, ${form}`);
    }
  }
});

// Guards against a cut-off entry whose refused connections remove upstreams that the other entries use.
void test.test('an entry that is cut off removes no upstream for the others', () => {
  for (const form of FORMS) {
    const system = createSystem();
    const cutOff = EXTENTS.some ?? [];
    sendLoad(system, 2_000);
    for (const entry of cutOff) {
      system.cutOff(entry, form);
    }
    const cutAt = system.time.now();
    sendLoad(system, 10_000, 12);
    system.time.advance(2_000);
    const others = servedShare(system, cutAt, system.time.now(), (entry) => !cutOff.includes(entry));
    const refused = system.attempts.filter(
      ({ entry, startedAt, outcome }) =>
        !cutOff.includes(entry) && startedAt >= cutAt && outcome === 'noUpstream',
    );
    assert.deepEqual(
      { form, served: others.served, refused: refused.length },
      { form, served: others.all, refused: 0 },
    );
    assert.deepEqual(system.control.crashReports, [], form);
  }
});
