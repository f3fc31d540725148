/**
 * What callers of a crowded fleet earn, on stand-in engines and virtual time.
 *
 * Pattern: half as many generations again as memory holds, a sixth of the engines leaving every three seconds.
 * Placed by memory alone, held until their time is over and taken for fresh when they come back, callers earned 58
 * in 100 on the grown fleet; held for 0.7 of their objectives, 60 on the depleted one. Grounds of the figures: the
 * first users' sites.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fleetCases from './fleetCases.js';
import * as fleetRun from './fleetRun.js';

void test.test('with room to spare nearly all are served in time', () => {
  const figures = fleetRun.play({ ...fleetCases.small, seed: 1 });
  assert.ok(figures.earned > 0.9, `earned ${figures.earned}`);
  assert.equal(figures.short.refused, 0);
});

// Long generations come faster than memory holds them. Those that get a place have their first event in time,
// since nobody is sent where prompts queue up; the others hear at once that there is none.
void test.test('a grown fleet under one and a half times its load serves in time what it serves', () => {
  const figures = fleetRun.play({ ...fleetCases.grown, duration: 40_000, seed: 1 });
  const { long, short } = figures;
  assert.ok(figures.earned > 0.7, `earned ${figures.earned}`);
  assert.ok(long.lateFirst < 0.03 * long.asked, `late ${long.lateFirst} of ${long.asked}`);
  assert.ok(figures.lateRefusals < 0.05, `late refusals ${figures.lateRefusals}`);
  assert.ok(short.inTime > 0.95 * short.asked, `urgent in time ${short.inTime} of ${short.asked}`);
});

void test.test('a fleet that has lost a third of its engines keeps its urgent callers in time', () => {
  const figures = fleetRun.play({ ...fleetCases.depleted, seed: 1 });
  const { short } = figures;
  assert.ok(figures.earned > 0.55, `earned ${figures.earned}`);
  assert.ok(short.inTime > 0.85 * short.asked, `urgent in time ${short.inTime} of ${short.asked}`);
});
