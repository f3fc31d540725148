/**
 * Bound of a shared limit over random histories: crashes, restarts, partitions, clock steps, lost and late messages.
 *
 * Guards against any order of events in which entries and up to two holders spend more than the limit in one window.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as leaseTestHarness from './leaseTestHarness.js';

const ENTRIES = 8;
const HOLDERS = ['h1', 'h2', 'h3'];

type Event =
  | { readonly type: 'restartEntry'; readonly entry: number }
  | { readonly type: 'restartAll' }
  | { readonly type: 'restartHolder'; readonly holder: number }
  | { readonly type: 'lend'; readonly holders: readonly number[] }
  | { readonly type: 'ask'; readonly entry: number; readonly holder: number }
  | { readonly type: 'askAll'; readonly holder: number }
  | { readonly type: 'cut'; readonly entry: number }
  | { readonly type: 'loss'; readonly share: number; readonly delay: number }
  | { readonly type: 'step'; readonly entry: number; readonly by: number }
  | { readonly type: 'stepHolder'; readonly holder: number; readonly by: number };

const entryNumbers = fastCheck.nat({ max: ENTRIES - 1 });
const holderNumbers = fastCheck.nat({ max: HOLDERS.length - 1 });
const events: fastCheck.Arbitrary<Event> = fastCheck.oneof(
  fastCheck.record({ type: fastCheck.constant('restartEntry'), entry: entryNumbers }),
  fastCheck.record({ type: fastCheck.constant('restartAll') }),
  fastCheck.record({ type: fastCheck.constant('restartHolder'), holder: holderNumbers }),
  fastCheck.record({
    type: fastCheck.constant('lend'),
    // An old and a new coordinator, or one, or none.
    holders: fastCheck.uniqueArray(holderNumbers, { maxLength: 2 }),
  }),
  fastCheck.record({ type: fastCheck.constant('ask'), entry: entryNumbers, holder: holderNumbers }),
  fastCheck.record({ type: fastCheck.constant('askAll'), holder: holderNumbers }),
  fastCheck.record({ type: fastCheck.constant('cut'), entry: entryNumbers }),
  fastCheck.record({
    type: fastCheck.constant('loss'),
    share: fastCheck.double({ min: 0, max: 0.5, noNaN: true }),
    delay: fastCheck.integer({ min: 0, max: 4_000 }),
  }),
  fastCheck.record({
    type: fastCheck.constant('step'),
    entry: entryNumbers,
    by: fastCheck.integer({ min: -20_000, max: -1 }),
  }),
  fastCheck.record({
    type: fastCheck.constant('stepHolder'),
    holder: holderNumbers,
    by: fastCheck.oneof(
      fastCheck.integer({ min: -20_000, max: -1 }),
      fastCheck.integer({ min: 2_300, max: 20_000 }),
    ),
  }),
);

const histories = fastCheck.array(
  fastCheck.record({ event: events, pause: fastCheck.integer({ min: 100, max: 12_000 }) }),
  { minLength: 3, maxLength: 14 },
);

function apply(
  harness: leaseTestHarness.LeaseTestHarness,
  asked: (string | undefined)[],
  event: Event,
): void {
  if (event.type === 'restartEntry') {
    harness.startEntry(event.entry);
  } else if (event.type === 'restartAll') {
    asked.forEach((_, entry) => {
      harness.startEntry(entry);
    });
  } else if (event.type === 'restartHolder') {
    harness.startHolder(HOLDERS[event.holder] ?? '');
  } else if (event.type === 'lend') {
    harness.lending.clear();
    for (const holder of event.holders) {
      harness.lending.add(HOLDERS[holder] ?? '');
    }
  } else if (event.type === 'ask') {
    asked[event.entry] = HOLDERS[event.holder];
  } else if (event.type === 'askAll') {
    asked.fill(HOLDERS[event.holder]);
  } else if (event.type === 'cut') {
    asked[event.entry] = undefined;
  } else if (event.type === 'loss') {
    harness.transit = () =>
      harness.random.next() < event.share ? undefined : 1 + harness.random.next() * event.delay;
  } else if (event.type === 'step') {
    harness.stepClock(event.entry, event.by);
  } else {
    harness.stepClock(HOLDERS[event.holder] ?? '', event.by);
  }
}

void test.test('no history makes entries spend more than the limit in a window', () => {
  const slacks = fastCheck.constantFrom(24, 48, 100, 160);
  fastCheck.assert(
    fastCheck.property(histories, slacks, fastCheck.nat(), (history, slack, seed) => {
      const harness = new leaseTestHarness.LeaseTestHarness({ entries: ENTRIES, slack, seed });
      const asked: (string | undefined)[] = Array.from({ length: ENTRIES }, () => 'h1');
      harness.holderOf = (entry) => asked[entry];
      for (const holder of HOLDERS) {
        harness.startHolder(holder);
      }
      harness.lending.add('h1');
      const perSecond = (3 * slack * 1_000) / leaseTestHarness.WINDOW;
      harness.demand(perSecond, 25_000, (entry) => entry === 0);
      for (const { event, pause } of history) {
        apply(harness, asked, event);
        harness.demand(perSecond, pause, (entry) => entry === 0);
      }
      const largest = harness.largestWindow();
      assert.ok(largest <= slack, `${largest} of ${slack} in a window`);
    }),
    { numRuns: 150, seed: 20_261_203 },
  );
});
