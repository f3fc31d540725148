/**
 * Selection of entries for callers in a large system, and the resulting distribution of calls.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as entryDirectory from './entryDirectory.js';
import type * as methods from './methods.js';

const MAXIMUM_ADDRESSES = 64;

/** Number of entries by data centre in a large system. */
const LARGE_SYSTEM = { a: 39, b: 43, c: 40, d: 37, e: 32 };

function statusOf(
  name: string,
  dataCentre: string,
  state: methods.EntryState = 'ready',
): methods.EntryStatus {
  const addresses = { callerAddress: `${name}:1`, peerAddress: `${name}:2` };
  return { name, dataCentre, ...addresses, state, trafficVersion: 1 };
}

function directoryOf(counts: Readonly<Record<string, number>>): entryDirectory.EntryDirectory {
  const directory = new entryDirectory.EntryDirectory(seededRandom.create(5));
  for (const [dataCentre, count] of Object.entries(counts)) {
    for (let index = 0; index < count; index += 1) {
      directory.recordStatus(statusOf(`${dataCentre}-${index}`, dataCentre), 0);
    }
  }
  return directory;
}

/** Number of calls at each entry when callers of a data centre choose at random from the entries returned to them. */
function countCalls(
  directory: entryDirectory.EntryDirectory,
  dataCentre: string,
  calls: number,
): Map<string, number> {
  const random = seededRandom.create(9);
  const counts = new Map<string, number>();
  for (let call = 0; call < calls; call += 1) {
    const selected = directory.choose(dataCentre, MAXIMUM_ADDRESSES, 0);
    const { name = '' } = selected[Math.floor(random.next() * selected.length)] ?? {};
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

// Without random sampling a few entries would receive most of the calls that cross data centres.
void test.test(
  'calls mostly stay in the data centre, and are distributed evenly over local and over remote entries',
  () => {
    const directory = directoryOf(LARGE_SYSTEM);
    const counts = [...countCalls(directory, 'a', 20_000)];
    const local = counts.filter(([name]) => name.startsWith('a-')).map(([, count]) => count);
    const remote = counts.filter(([name]) => !name.startsWith('a-')).map(([, count]) => count);
    const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
    assert.ok(sum(local) / 20_000 > 0.88, `${sum(local)} of 20,000 local`);
    assert.equal(local.length, 39);
    assert.ok(Math.max(...local) < 1.25 * (sum(local) / local.length));
    assert.equal(remote.length, 152);
    assert.ok(Math.max(...remote) < 3 * (sum(remote) / remote.length));
  },
);

// When all entries of a data centre fail at once, its callers must reach other entries without a new lookup.
void test.test(
  'a caller also receives entries of other data centres, and enough of them where its own has few',
  () => {
    const selected = directoryOf(LARGE_SYSTEM).choose('e', MAXIMUM_ADDRESSES, 0);
    assert.equal(selected.filter((entry) => entry.dataCentre !== 'e').length, 4);
    assert.equal(directoryOf({ a: 2, b: 3, c: 3 }).choose('a', MAXIMUM_ADDRESSES, 0).length, 8);
    assert.equal(directoryOf({ a: 30 }).choose('elsewhere', MAXIMUM_ADDRESSES, 0).length, 8);
    assert.equal(directoryOf({ a: 100, b: 10 }).choose('a', MAXIMUM_ADDRESSES, 0).length, MAXIMUM_ADDRESSES);
  },
);

// Request bodies of a route with restricted regions must not pass through entries of other regions.
void test.test(
  'a caller receives only entries through which its request bodies may pass, if there are any',
  () => {
    const directory = directoryOf({ a: 3, b: 3, c: 30 });
    const selected = directory.choose('a', MAXIMUM_ADDRESSES, 0, (dataCentre) => dataCentre !== 'c');
    assert.deepEqual([...new Set(selected.map((entry) => entry.dataCentre))].sort(), ['a', 'b']);
    assert.ok(directory.choose('a', MAXIMUM_ADDRESSES, 0, () => false).length > 0);
  },
);

void test.test('an entry that drains, starts or has an expired lease is not returned to callers', () => {
  const directory = directoryOf({ a: 1 });
  directory.recordStatus(statusOf('draining', 'a', 'draining'), 0);
  directory.recordStatus(statusOf('starting', 'a', 'starting'), 0);
  directory.recordStatus(statusOf('fresh', 'a'), 2_500);
  assert.deepEqual(
    directory.choose('a', MAXIMUM_ADDRESSES, 2_500).map(({ name }) => name),
    ['fresh'],
  );
  assert.deepEqual([...directory.expire(2_500)].sort(), ['a-0', 'draining', 'starting']);
});
