/**
 * Runners that tell their senders to send less, once it is quiet after the trouble: one names a rate limit, another one
 * turns everything away and asks for pauses.
 */
import * as platform from 'kumquatfront-platform';

import type * as evacuation from './evacuation.js';
import type * as ledger from './ledger.js';
import * as pause from './pause.js';
import type * as runners from './runners.js';

const { headers } = platform.names;

/** Requests a second that a runner names. */
const RATE_LIMIT = 1.5;
/** Time after which the limit is kept, and what may then arrive in a window. */
const KEPT_AFTER_MS = 3_000;
const WINDOW_MS = 4_000;
const MOST_IN_WINDOW = 1.5 * RATE_LIMIT * (WINDOW_MS / 1_000) + 5;

const PAUSE_SECONDS = 2.5;
/** Requests may be under way for so long when an entry hears of the pause; two from each entry may come later. */
const UNDER_WAY_MS = 500;
const MOST_OF_ENTRY = 2;

/** What the check needs. */
export interface BackPressureOptions {
  readonly book: ledger.Ledger;
  readonly runners: readonly runners.Runner[];
  readonly entryCount: number;
  readonly until: evacuation.Until;
}

/**
 * Checks that entries send a runner what it asks for, and come back after.
 *
 * @param options - the runners, and the book that takes faults
 * @example
 * ```ts
 * await backPressure.check({ book, runners, entryCount: 2, until });
 * ```
 */
export async function check({ book, runners: all, entryCount, until }: BackPressureOptions): Promise<void> {
  const [limited, tired] = all.filter(({ identity }) => identity.startsWith('app-'));
  if (limited === undefined || tired === undefined) {
    throw new Error('the soak has too few runners of its plain service');
  }
  limited.extraHeaders = { [headers.rateLimit]: String(RATE_LIMIT) };
  await pause.of(KEPT_AFTER_MS);
  const arrived = await arrivalsIn(limited, WINDOW_MS);
  if (arrived > MOST_IN_WINDOW) {
    book.faults.push(`${limited.identity} takes ${RATE_LIMIT} a second and got ${arrived} in four seconds`);
  }
  limited.extraHeaders = {};
  tired.extraHeaders = { [headers.pause]: String(PAUSE_SECONDS) };
  tired.turnsAway = true;
  await pause.of(UNDER_WAY_MS * 2);
  const within = await arrivalsIn(tired, PAUSE_SECONDS * 1_000 - UNDER_WAY_MS * 2);
  if (within > MOST_OF_ENTRY * entryCount) {
    book.faults.push(`${tired.identity} asked for a pause and got ${within} requests within it`);
  }
  tired.turnsAway = false;
  tired.extraHeaders = {};
  for (const runner of [limited, tired]) {
    const before = runner.arrivals;
    if (!(await until(() => Promise.resolve(runner.arrivals > before + entryCount)))) {
      book.faults.push(`${runner.identity} got nothing more once it took requests again`);
    }
  }
}

async function arrivalsIn(runner: runners.Runner, length: number): Promise<number> {
  const before = runner.arrivals;
  await pause.of(length);
  return runner.arrivals - before;
}
