/**
 * Paces of plain upstreams at one entry.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as upstreamPaces from './upstreamPaces.js';

function createInstance(identity: string): instanceView.Instance {
  return {
    ...{ identity, name: identity, born: 0, service: 'billing', address: `${identity}:80`, dataCentre: 'a' },
    ...{ slots: 6, state: 'ready', warmUpLeft: 0, sequence: 1, firstSeenAt: 0, coldUntil: 0 },
  };
}

const [a, b, c] = ['a', 'b', 'c'].map(createInstance) as [
  instanceView.Instance,
  instanceView.Instance,
  instanceView.Instance,
];

interface Entry {
  readonly paces: upstreamPaces.UpstreamPaces;
  readonly clock: { now: number; draws: number; nextDraw: number };
  readonly lines: string[];
  readonly near: (mayProbe?: boolean) => string;
}

function createEntry(): Entry {
  const clock = { now: 0, draws: 0, nextDraw: 0.5 };
  const lines: string[] = [];
  const noop = (): void => undefined;
  const info = (event: string, fields?: ports.LogFields): void => {
    lines.push(`${event} ${String(fields?.upstream)}`);
  };
  const random: ports.Random = {
    next: () => {
      clock.draws += 1;
      return clock.nextDraw;
    },
    identity: () => 'x',
  };
  const paces = new upstreamPaces.UpstreamPaces({
    now: () => clock.now,
    random,
    log: { debug: noop, info, warn: noop, error: noop },
    metrics: { count: noop, gauge: noop, timing: noop },
    serviceOf: () => 'billing',
  });
  const near = (mayProbe = true): string =>
    paces
      .nearLeast([a, b, c], () => 0, mayProbe)
      .map(({ identity }) => identity)
      .join('');
  return { paces, clock, lines, near };
}

function observe({ paces, clock }: Entry, times: readonly number[], rounds = 20): void {
  for (let round = 0; round < rounds; round += 1) {
    clock.now += 10;
    for (const [index, instance] of [a, b, c].entries()) {
      paces.recordAnswer(instance, times[index] ?? 0, { running: 1, waiting: 0, slots: 6 });
    }
  }
}

// Guards against any effect where nothing calls for one: the same candidates and no random number more than today.
void test.test('equal upstreams without a slowdown are left to the choice of today', () => {
  const entry = createEntry();
  assert.equal(entry.near(), 'abc');
  observe(entry, [30, 31, 29]);
  assert.equal(entry.near(), 'abc');
  assert.equal(entry.clock.draws, 0);
});

void test.test('a slow upstream is avoided and sometimes probed, but not by a second attempt', () => {
  const entry = createEntry();
  observe(entry, [30, 30, 73]);
  assert.equal(entry.near(), 'ab');
  entry.clock.nextDraw = 0.01;
  assert.equal(entry.near(), 'c');
  assert.equal(entry.near(false), 'ab');
});

void test.test('a reported slowdown is regarded at once and ends with the next normal report', () => {
  const entry = createEntry();
  observe(entry, [30, 30, 30]);
  entry.paces.recordAnswer(a, 75, { running: 1, waiting: 0, slots: 6, slowdown: 2.5 });
  assert.equal(entry.near(), 'bc');
  entry.clock.now += 1_500;
  assert.equal(entry.near(), 'bc');
  entry.paces.recordAnswer(a, 30, { running: 1, waiting: 0, slots: 6, slowdown: 1 });
  assert.equal(entry.near(), 'abc');
});

void test.test('a slowdown that was reported long ago has no effect', () => {
  const entry = createEntry();
  observe(entry, [30, 30, 30]);
  entry.paces.recordAnswer(a, 75, { running: 1, waiting: 0, slots: 6, slowdown: 2.5 });
  entry.clock.now += 3_000;
  assert.equal(entry.near(), 'abc');
});

// Guards against an upstream that fails at once, or turns calls away, looking fast or idle.
void test.test('an upstream that turns calls away is avoided until the calls are forgotten', () => {
  const entry = createEntry();
  observe(entry, [30, 30, 30]);
  entry.clock.now += 3_000;
  entry.paces.recordTurnedAway(a);
  entry.paces.recordTurnedAway(a);
  entry.paces.recordTurnedAway(a);
  assert.equal(entry.near(), 'bc');
  entry.clock.now += 6_000;
  assert.equal(entry.near(), 'abc');
});

void test.test('sums are sent once, and invalid tables are ignored', () => {
  const entry = createEntry();
  assert.equal(entry.paces.isInterested, false);
  observe(entry, [30, 30, 73], 2);
  assert.equal(entry.paces.hasSums, true);
  assert.deepEqual(entry.paces.takeSums()[2], ['c', 2, 146, 0, [0, 1, 0, 6, -1]]);
  assert.equal(entry.paces.hasSums, false);
  for (const invalid of [
    undefined,
    null,
    'x',
    [null],
    [[]],
    [['a', 'x', 'y', 'z']],
    [['a', 1e300, 9, 1, 0, null]],
  ]) {
    entry.paces.adopt(invalid);
  }
  observe(entry, [30, 30, 73]);
  assert.equal(entry.near(), 'ab');
});

// Guards against a flood of log lines while an upstream is at the margin.
void test.test('a change is logged once, and at most once a second', () => {
  const entry = createEntry();
  observe(entry, [30, 30, 73]);
  for (let count = 0; count < 50; count += 1) {
    entry.near();
  }
  assert.deepEqual(entry.lines, ['upstreamAvoided c']);
});
