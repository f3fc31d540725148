/**
 * What is held against contents: when it suffices, what voids it, what it lapses to, and how processes come to the same
 * verdict whatever they hear first.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as crashLedger from './crashLedger.js';
import type * as types from './types.js';

const MINUTE = 60_000;

function holdAll(ledger: crashLedger.CrashLedger, content: string, instances: readonly string[]): void {
  instances.forEach((instance, index) => {
    ledger.hold(content, instance, index);
  });
}

/** A ledger with a quarantined content, and what it told of it. */
function quarantined(): { ledger: crashLedger.CrashLedger; told: string[] } {
  const told: string[] = [];
  const ledger = new crashLedger.CrashLedger(({ content, change }) => told.push(`${content} ${change}`));
  holdAll(ledger, 'x', ['a', 'b', 'c']);
  return { ledger, told };
}

void test.test('three ends quarantine a content, on three instances', () => {
  const ledger = new crashLedger.CrashLedger();
  holdAll(ledger, 'x', ['a', 'b', 'a', 'b']);
  assert.equal(ledger.verdictOf('x'), 'suspected');
  ledger.hold('x', 'c', 9);
  assert.equal(ledger.verdictOf('x'), 'quarantined');
  assert.equal(ledger.verdictOf('y'), 'free');
});

// An upstream answered it between: it does not end each that runs it.
void test.test('an answer voids the ends before it', () => {
  const ledger = new crashLedger.CrashLedger();
  holdAll(ledger, 'x', ['a', 'b']);
  assert.equal(ledger.answered('x', 10), true);
  assert.equal(ledger.verdictOf('x'), 'free');
  ledger.hold('x', 'c', 11);
  assert.equal(ledger.verdictOf('x'), 'suspected');
});

// A run that was under way when the third end became known is answered.
void test.test('an answer lifts a quarantine', () => {
  const { ledger, told } = quarantined();
  ledger.answered('x', 10);
  assert.equal(ledger.verdictOf('x'), 'free');
  assert.deepEqual(told, ['x quarantined', 'x answered']);
});

// A bystander was under two of the ends of a content that is quarantined now, and ends with one more upstream.
void test.test('an end that a quarantined content explains counts against no other', () => {
  const { ledger } = quarantined();
  holdAll(ledger, 'bystander', ['a', 'b', 'd']);
  assert.equal(ledger.verdictOf('bystander'), 'suspected');
});

void test.test('ends that are far apart do not count together', () => {
  const ledger = new crashLedger.CrashLedger();
  holdAll(ledger, 'x', ['a', 'b']);
  ledger.expire(11 * MINUTE);
  ledger.hold('x', 'c', 11 * MINUTE);
  assert.equal(ledger.verdictOf('x'), 'suspected');
});

// Upstreams may have been mended, or the verdict was wrong: it runs out. Where it was right, one upstream tells.
void test.test('a quarantine runs out, and one end brings it back for longer', () => {
  const { ledger, told } = quarantined();
  const end = crashLedger.FIRST_QUARANTINE + 2;
  ledger.expire(end - 1);
  assert.equal(ledger.verdictOf('x'), 'quarantined');
  ledger.expire(end);
  assert.equal(ledger.verdictOf('x'), 'free');
  ledger.hold('x', 'd', end + MINUTE);
  assert.equal(ledger.verdictOf('x'), 'quarantined');
  ledger.expire(end + 5 * crashLedger.FIRST_QUARANTINE);
  assert.equal(ledger.verdictOf('x'), 'quarantined');
  assert.deepEqual(told, ['x quarantined', 'x lapsed', 'x quarantined']);
});

// A peer whose clock is a little behind tells of a quarantine that has run out here.
void test.test('what has run out is not brought back by hearsay', () => {
  const { ledger } = quarantined();
  const end = crashLedger.FIRST_QUARANTINE + 2;
  const late = ledger.caseOf('x', end - 1);
  assert.ok(late !== undefined);
  ledger.expire(end);
  ledger.merge(late, end);
  assert.equal(ledger.verdictOf('x'), 'free');
});

// Each of ten thousand contents ends one upstream: memory stays bounded, and a content that is quarantined stays.
void test.test('a flood of contents displaces only its like', () => {
  const { ledger } = quarantined();
  for (let index = 0; index < 10_000; index += 1) {
    ledger.hold(`flood ${index}`, `i${index}`, 10 + index);
  }
  assert.equal(ledger.verdictOf('x'), 'quarantined');
  assert.ok(ledger.newsSince(0, 20_000).cases.length <= 2_000);
});

void test.test('news since a revision are the cases that changed', () => {
  const { ledger } = quarantined();
  const { revision } = ledger;
  ledger.hold('y', 'd', 5);
  const news = ledger.newsSince(revision, 5);
  assert.deepEqual(
    news.cases.map(({ content }) => content),
    ['y'],
  );
  assert.equal(ledger.hold('y', 'd', 6), false);
  assert.equal(ledger.revision, news.revision);
});

// Entries and replicas hear of ends and answers in any order, and more than once.
void test.test('all who hear the same come to the same verdict', () => {
  const NOW = 1_000;
  const crash = fc.record({
    instance: fc.constantFrom('a', 'b', 'c', 'd'),
    age: fc.integer({ min: 1, max: 900 }),
  });
  const record: fc.Arbitrary<types.CaseRecord> = fc.record(
    {
      content: fc.constant('x'),
      crashes: fc.array(crash, { maxLength: 2 }),
      voidedAge: fc.integer({ min: 1, max: 900 }),
      lapses: fc.constant(0),
    },
    { requiredKeys: ['content', 'crashes', 'lapses'] },
  );
  // One instance ends once: all who tell of it tell of the same moment.
  const agreeing = fc.array(record, { maxLength: 8 }).map((records) => {
    const ages = new Map(
      records.flatMap(({ crashes }) => crashes.map(({ instance, age }) => [instance, age])),
    );
    return records.map((told) => ({
      ...told,
      crashes: told.crashes.map(({ instance }) => ({ instance, age: ages.get(instance) ?? 0 })),
    }));
  });
  fc.assert(
    fc.property(agreeing, fc.nat(), (records, turn) => {
      const inOrder = new crashLedger.CrashLedger();
      const turned = new crashLedger.CrashLedger();
      const split = records.length === 0 ? 0 : turn % records.length;
      records.forEach((told) => inOrder.merge(told, NOW));
      [...records.slice(split), ...records.slice(0, split), ...records].forEach((told) =>
        turned.merge(told, NOW),
      );
      assert.equal(turned.verdictOf('x'), inOrder.verdictOf('x'));
    }),
    { seed: 29 },
  );
});
