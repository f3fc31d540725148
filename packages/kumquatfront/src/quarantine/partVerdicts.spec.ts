/**
 * Verdicts on parts of prompts from given crashes.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as crashRecordStore from './crashRecordStore.js';
import * as partVerdicts from './partVerdicts.js';
import type * as types from './types.js';

const NEVER = Number.NEGATIVE_INFINITY;

function crashesAt(
  times: readonly number[],
  contents = times.map((time) => `c${time}`),
): Map<string, partVerdicts.PartCrash> {
  return new Map(times.map((at, index) => [`i${at}`, { at, content: contents[index] ?? '' }]));
}

function recordOf(times: readonly number[], harmlessAt = NEVER): partVerdicts.PartRecord {
  return { crashes: crashesAt(times), harmlessAt, quarantinedAt: times.at(-1) ?? 0, imposed: false };
}

function timesOf(...records: readonly partVerdicts.PartRecord[]): Map<string, number> {
  return new Map(records.flatMap(({ crashes }) => [...crashes].map(([instance, { at }]) => [instance, at])));
}

// Guards against a verdict on a part for crashes of upstreams that fail together, as a rack does.
void test.test('upstreams that crash at the same moment count once', () => {
  assert.equal(partVerdicts.areEvidence(crashesAt([1_000, 1_020, 1_040, 1_060]).values(), NEVER), false);
  assert.equal(partVerdicts.areEvidence(crashesAt([1_000, 1_500, 2_000]).values(), NEVER), true);
});

// A request that is sent again and again may be the cause with all of its content.
void test.test('repetitions of one request are no evidence against its parts', () => {
  const crashes = crashesAt([1_000, 1_500, 2_000], ['c', 'c', 'c']);
  assert.equal(partVerdicts.areEvidence(crashes.values(), NEVER), false);
});

// Guards against verdicts on busy parts, which are there at every crash, in the moments in which nothing is answered.
void test.test('a part that was sound shortly before needs more crashes', () => {
  assert.equal(partVerdicts.areEvidence(crashesAt([1_000, 1_500, 2_000]).values(), 900), false);
  assert.equal(
    partVerdicts.areEvidence(crashesAt([1_000, 1_500, 2_000, 2_500, 3_000, 3_500]).values(), 900),
    true,
  );
});

void test.test(
  'a part that explains all crashes is quarantined, one beside other crashes is on trial',
  () => {
    const record = recordOf([1_000, 1_500, 2_000]);
    const alone = partVerdicts.evaluate(new Map([['p', record]]), timesOf(record));
    assert.equal(alone.get('p')?.state, 'quarantined');
    const others = new Map([...timesOf(record), ['other', 1_700]]);
    assert.equal(partVerdicts.evaluate(new Map([['p', record]]), others).get('p')?.state, 'trial');
  },
);

// Guards against a sound part that stays held although a further crash, without it, has told the two apart.
void test.test('a part whose crashes another part explains has no verdict', () => {
  const cause = recordOf([1_000, 1_500, 2_000, 2_500]);
  const rider = recordOf([1_000, 1_500, 2_000]);
  const records = new Map([
    ['rider', rider],
    ['cause', cause],
  ]);
  const verdicts = partVerdicts.evaluate(records, timesOf(cause));
  assert.deepEqual([...verdicts.keys()], ['cause']);
});

void test.test('parts with the same crashes are companions', () => {
  const records = new Map([
    ['a', recordOf([1_000, 1_500, 2_000])],
    ['b', recordOf([1_000, 1_500, 2_000])],
  ]);
  const verdicts = partVerdicts.evaluate(records, timesOf(...records.values()));
  assert.deepEqual(verdicts.get('a')?.companions, ['b']);
});

void test.test('each trial that crashes puts off the next one', () => {
  const first = partVerdicts.evaluate(new Map([['p', recordOf([0, 500, 1_000])]]), new Map());
  const record = { ...recordOf([0, 500, 1_000, 40_000]), quarantinedAt: 1_000 };
  const second = partVerdicts.evaluate(new Map([['p', record]]), new Map());
  assert.equal(first.get('p')?.nextTrialAt, 31_000);
  assert.equal(second.get('p')?.nextTrialAt, 40_000 + 180_000);
});

// Guards against processes that come to different verdicts because records reach them in another order.
void test.test('all processes come to the same verdicts in whatever order records arrive', () => {
  const now = 100_000;
  const crash = fastCheck.record({
    part: fastCheck.constantFrom('part:s/a', 'part:s/b', 'part:s/c'),
    instance: fastCheck.constantFrom('i1', 'i2', 'i3', 'i4', 'i5'),
    content: fastCheck.constantFrom('x', 'y', 'z'),
  });
  const ages: Readonly<Record<string, number>> = { i1: 9_000, i2: 7_000, i3: 5_000, i4: 3_000, i5: 1_000 };
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(crash, { maxLength: 16 }),
      fastCheck.option(fastCheck.constantFrom(8_000, 4_000), { nil: undefined }),
      fastCheck.infiniteStream(fastCheck.nat()),
      (crashes, voidedAge, order) => {
        const records: types.CrashRecord[] = crashes.map(({ part, instance, content }) => ({
          content: part,
          crashes: [{ instance, content, age: ages[instance] ?? 0 }],
          ...(part.endsWith('a') && voidedAge !== undefined && { voidedAge }),
          lapses: 0,
        }));
        const shuffled = records
          .map((record) => ({ record, key: Number(order.next().value) }))
          .sort((left, right) => left.key - right.key)
          .map(({ record }) => record);
        const verdictsAfter = (sequence: readonly types.CrashRecord[]): unknown => {
          const store = new crashRecordStore.CrashRecordStore();
          sequence.forEach((record) => store.merge(record, now));
          return [...store.partVerdicts]
            .map(([part, { state, companions }]) => [part, state, [...companions].sort()])
            .sort();
        };
        assert.deepEqual(verdictsAfter(shuffled), verdictsAfter(records));
      },
    ),
  );
});

// As above, with two requests that ran on one upstream: the number of different requests must not depend on the order.
void test.test('of two requests on one upstream all processes count the same', () => {
  const crashOf = (instance: string, content: string, age: number): types.CrashRecord => ({
    ...{ content: 'part:s/a', crashes: [{ instance, content, age }], lapses: 0 },
  });
  const records = [
    crashOf('i1', 'x', 9_000),
    crashOf('i1', 'y', 9_000),
    crashOf('i2', 'y', 7_000),
    crashOf('i3', 'y', 5_000),
  ];
  for (const sequence of [records, [...records].reverse()]) {
    const store = new crashRecordStore.CrashRecordStore();
    sequence.forEach((record) => store.merge(record, 100_000));
    assert.equal(store.partVerdicts.size, 1);
  }
});
