/**
 * Checks back pressure after the fault phase: entries must respect an instance's rate limit and the pause that a
 * rejecting instance requests.
 */
import * as platform from 'kumquatfront-platform';

import type * as evacuationCheck from './evacuationCheck.js';
import type * as invariantChecker from './invariantChecker.js';
import * as sleep from './sleep.js';
import type * as stubInstance from './stubInstance.js';

const { headers } = platform.httpNames;

/** Rate limit that an instance announces, in requests per second. */
const RATE_LIMIT = 1.5;
/** Time after which entries must respect the limit; then the arrivals in a window are counted. */
const RATE_LIMIT_SETTLE_MS = 3_000;
const RATE_WINDOW_MS = 4_000;
const MAXIMUM_REQUESTS_PER_WINDOW = 1.5 * RATE_LIMIT * (RATE_WINDOW_MS / 1_000) + 5;

const PAUSE_SECONDS = 2.5;
/** Requests may be in flight for this long when an entry receives the pause; each entry may send two more. */
const IN_FLIGHT_MS = 500;
const MAXIMUM_REQUESTS_PER_ENTRY = 2;

/** Dependencies of the back pressure check. */
export interface BackPressureOptions {
  readonly checker: invariantChecker.InvariantChecker;
  readonly instances: readonly stubInstance.StubInstance[];
  readonly entryCount: number;
  readonly waitUntil: evacuationCheck.WaitUntil;
}

/**
 * Checks that entries respect rate limits and pauses, and resume sending once they are lifted.
 *
 * @param options - the instances, and the checker that records violations
 * @example
 * ```ts
 * await backPressure.check({ checker, instances, entryCount: 2, waitUntil });
 * ```
 */
export async function check({
  checker,
  instances,
  entryCount,
  waitUntil,
}: BackPressureOptions): Promise<void> {
  const [rateLimited, paused] = instances.filter(({ identity }) => identity.startsWith('app-'));
  if (rateLimited === undefined || paused === undefined) {
    throw new Error('the back pressure check needs two instances of the plain service');
  }
  rateLimited.extraHeaders = { [headers.rateLimit]: String(RATE_LIMIT) };
  await sleep.forMilliseconds(RATE_LIMIT_SETTLE_MS);
  const arrived = await countArrivals(rateLimited, RATE_WINDOW_MS);
  if (arrived > MAXIMUM_REQUESTS_PER_WINDOW) {
    checker.violations.push(
      `${rateLimited.identity} has a rate limit of ${RATE_LIMIT} requests/s and received ${arrived} requests in 4 s`,
    );
  }
  rateLimited.extraHeaders = {};
  paused.extraHeaders = { [headers.pause]: String(PAUSE_SECONDS) };
  paused.rejectsRequests = true;
  await sleep.forMilliseconds(IN_FLIGHT_MS * 2);
  const arrivedDuringPause = await countArrivals(paused, PAUSE_SECONDS * 1_000 - IN_FLIGHT_MS * 2);
  if (arrivedDuringPause > MAXIMUM_REQUESTS_PER_ENTRY * entryCount) {
    checker.violations.push(
      `${paused.identity} requested a pause and received ${arrivedDuringPause} requests during it`,
    );
  }
  paused.rejectsRequests = false;
  paused.extraHeaders = {};
  for (const instance of [rateLimited, paused]) {
    const before = instance.arrivals;
    if (!(await waitUntil(() => Promise.resolve(instance.arrivals > before + entryCount)))) {
      checker.violations.push(`${instance.identity} received no requests after it accepted them again`);
    }
  }
}

async function countArrivals(instance: stubInstance.StubInstance, duration: number): Promise<number> {
  const before = instance.arrivals;
  await sleep.forMilliseconds(duration);
  return instance.arrivals - before;
}
