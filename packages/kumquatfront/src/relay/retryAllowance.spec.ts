/**
 * The repeats of a fleet of entries, each of which sees less than one request a second.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as retryAllowance from './retryAllowance.js';

const ENTRIES = 191;
const SETTINGS: retryAllowance.AllowanceSettings = { ratio: 0.2, slack: 422, window: 10_000 };

/** Calls a second to one service, and the share of them that may be repeated. */
const CALLS = 57;
const REPEATABLE = 0.28;
const PLAYED_SECONDS = 120;

interface Played {
  readonly wanted: number;
  readonly refused: number;
  /** Most repeats beyond the bound in any window; negative where there was room. */
  readonly worstExcess: number;
}

/** Plays calls that come at random moments at random entries, and fail at a given rate. */
function play(entries: number, failing: number, shareOfSlack: number, repeatable = REPEATABLE): Played {
  const random = seededRandom.create(11);
  const allowances = Array.from(
    { length: entries },
    () => new retryAllowance.RetryAllowance(SETTINGS, () => shareOfSlack, random),
  );
  const calls: number[] = [];
  const repeats: number[] = [];
  let wanted = 0;
  let refused = 0;
  let worstExcess = Number.NEGATIVE_INFINITY;
  for (let call = 0; call < CALLS * PLAYED_SECONDS; call += 1) {
    const now = (call / CALLS) * 1_000;
    const allowance = allowances[Math.floor(random.next() * entries)];
    calls.push(now);
    allowance?.requested('app', now);
    if (random.next() < repeatable && random.next() < failing) {
      wanted += 1;
      if (allowance?.take('app', now) === true) {
        repeats.push(now);
      } else {
        refused += 1;
      }
    }
    const within = (times: readonly number[]): number =>
      times.filter((time) => time > now - SETTINGS.window).length;
    if (call % 50 === 0) {
      const bound = SETTINGS.ratio * within(calls) + SETTINGS.slack;
      worstExcess = Math.max(worstExcess, within(repeats) - bound);
    }
  }
  return { wanted, refused, worstExcess };
}

// Two free repeats for each entry and window, of four hundred for all: an entry whose callers are unlucky twice in ten
// seconds has no more, while the whole has hundreds left. That must be rare even where one call in eight fails.
void test.test(
  'where one call in eight fails hardly any repeat is refused while the whole has budget',
  () => {
    const { wanted, refused } = play(ENTRIES, 0.125, 1 / ENTRIES);
    assert.ok(wanted > 200, `${wanted} wanted`);
    assert.ok(refused / wanted < 0.01, `${refused} of ${wanted} refused`);
  },
);

// Every call fails, and every one might be repeated: what all entries together send must stay within the bound.
void test.test('the bound holds where everything fails', () => {
  const { refused, worstExcess } = play(ENTRIES, 1, 1 / ENTRIES, 1);
  assert.ok(refused > 0);
  assert.ok(worstExcess <= 0, `${worstExcess} beyond the bound`);
});

// A third of the entries has just been killed and is still counted, or has come back and is counted again.
void test.test('the bound holds where a third of the entries is gone or not counted yet', () => {
  const alive = Math.round((ENTRIES * 2) / 3);
  assert.ok(play(alive, 1, 1 / ENTRIES, 1).worstExcess <= 0);
  assert.ok(play(ENTRIES, 1, 1 / alive, 1).worstExcess <= 0);
});
