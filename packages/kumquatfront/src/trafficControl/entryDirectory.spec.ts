/**
 * Which entries callers are given in a large system, and how evenly that spreads them.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as entryDirectory from './entryDirectory.js';
import type * as methods from './methods.js';

const MOST = 64;

/** Entries by data centre, as a system of 191 has them. */
const LARGE = { a: 39, b: 43, c: 40, d: 37, e: 32 };

function news(name: string, dataCentre: string, state: methods.EntryState = 'ready'): methods.EntryNews {
  const addresses = { callerAddress: `${name}:1`, peerAddress: `${name}:2` };
  return { name, dataCentre, ...addresses, state, trafficVersion: 1 };
}

function directoryOf(counts: Readonly<Record<string, number>>): entryDirectory.EntryDirectory {
  const directory = new entryDirectory.EntryDirectory(seededRandom.create(5));
  for (const [dataCentre, count] of Object.entries(counts)) {
    for (let index = 0; index < count; index += 1) {
      directory.hear(news(`${dataCentre}-${index}`, dataCentre), 0);
    }
  }
  return directory;
}

/** Calls at each entry, where callers of a data centre ask and then choose at random among what they are given. */
function callsOf(
  directory: entryDirectory.EntryDirectory,
  dataCentre: string,
  calls: number,
): Map<string, number> {
  const random = seededRandom.create(9);
  const counts = new Map<string, number>();
  for (let call = 0; call < calls; call += 1) {
    const given = directory.choose(dataCentre, MOST, 0);
    const { name = '' } = given[Math.floor(random.next() * given.length)] ?? {};
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

// Half of a data centre's callers move to the next one. Its thirty-nine entries must share them, and no few entries
// elsewhere may get what crosses: the first twenty-five of a list would carry four calls in ten.
void test.test('callers stay in their data centre, spread evenly, and cross it evenly', () => {
  const directory = directoryOf(LARGE);
  const counts = [...callsOf(directory, 'a', 20_000)];
  const near = counts.filter(([name]) => name.startsWith('a-')).map(([, count]) => count);
  const far = counts.filter(([name]) => !name.startsWith('a-')).map(([, count]) => count);
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
  assert.ok(sum(near) / 20_000 > 0.88, `${sum(near)} of 20,000 near`);
  assert.equal(near.length, 39);
  assert.ok(Math.max(...near) < 1.25 * (sum(near) / near.length));
  assert.equal(far.length, 152);
  assert.ok(Math.max(...far) < 3 * (sum(far) / far.length));
});

// Its callers must reach others without asking again when a data centre's entries go all at once.
void test.test(
  'a caller has addresses of other data centres too, and enough where it has few entries',
  () => {
    const given = directoryOf(LARGE).choose('e', MOST, 0);
    assert.equal(given.filter((entry) => entry.dataCentre !== 'e').length, 4);
    assert.equal(directoryOf({ a: 2, b: 3, c: 3 }).choose('a', MOST, 0).length, 8);
    assert.equal(directoryOf({ a: 30 }).choose('elsewhere', MOST, 0).length, 8);
    assert.equal(directoryOf({ a: 100, b: 10 }).choose('a', MOST, 0).length, MOST);
  },
);

// Bodies of a route that has a home may pass through entries at home or in the caller's own region, and no others.
void test.test('a caller is given entries through which its bodies may pass, where there are any', () => {
  const directory = directoryOf({ a: 3, b: 3, c: 30 });
  const given = directory.choose('a', MOST, 0, (dataCentre) => dataCentre !== 'c');
  assert.deepEqual([...new Set(given.map((entry) => entry.dataCentre))].sort(), ['a', 'b']);
  assert.ok(directory.choose('a', MOST, 0, () => false).length > 0);
});

void test.test('an entry that drains, starts or is silent is given to nobody', () => {
  const directory = directoryOf({ a: 1 });
  directory.hear(news('draining', 'a', 'draining'), 0);
  directory.hear(news('starting', 'a', 'starting'), 0);
  directory.hear(news('fresh', 'a'), 2_500);
  assert.deepEqual(
    directory.choose('a', MOST, 2_500).map(({ name }) => name),
    ['fresh'],
  );
  assert.deepEqual([...directory.expire(2_500)].sort(), ['a-0', 'draining', 'starting']);
});
