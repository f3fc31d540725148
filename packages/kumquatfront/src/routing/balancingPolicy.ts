/**
 * Load balancing between upstreams: power of two random choices by predicted occupancy, with affinity to an upstream
 * that has the prefix of the prompt cached.
 */
import type * as upstreamTable from '../directory/upstreamTable.js';
import type * as ports from '../kernel/ports.js';
import type * as dispatchTracker from './dispatchTracker.js';
import type * as outlierDetector from './outlierDetector.js';
import type * as types from './types.js';

/** State that a balancing policy uses. */
export interface BalancingContext {
  readonly now: number;
  readonly table: upstreamTable.UpstreamTable;
  readonly dispatches: dispatchTracker.DispatchTracker;
  readonly outlierDetector: outlierDetector.OutlierDetector;
  readonly random: ports.Random;
}

/** Selects one of the candidates; returns undefined if none is usable. */
export type BalancingPolicy = (
  request: types.PlacementRequest,
  candidates: readonly upstreamTable.UpstreamRecord[],
  context: BalancingContext,
) => upstreamTable.UpstreamRecord | undefined;

/** Maximum occupancy above the best candidate at which an upstream with the cached prefix is preferred. */
const MAXIMUM_AFFINITY_PENALTY = 0.25;
const SAMPLE_SIZE = 2;
const MAXIMUM_SAMPLE_ATTEMPTS = 8;

/**
 * Reports whether an upstream may be used for a request.
 *
 * @param upstream - the candidate
 * @returns false if it has failed this request, is ejected or its lease has expired
 * @example
 * ```ts
 * candidates.filter((upstream) => balancingPolicy.isUsable(request, upstream, context));
 * ```
 */
export function isUsable(
  request: types.PlacementRequest,
  upstream: upstreamTable.UpstreamRecord,
  context: BalancingContext,
): boolean {
  const { name } = upstream.announcement;
  const leased = upstream.expiresAt > context.now;
  return leased && !request.exclude.has(name) && !context.outlierDetector.isEjected(name, context.now);
}

/**
 * Predicts the occupancy of an upstream: the higher of its slot and memory usage, including what this entry has sent
 * since the last load report. Without these, all requests of a report interval would go to the same upstream.
 *
 * @returns 0 if idle, about 1 if full
 * @example
 * ```ts
 * const score = balancingPolicy.occupancy(upstream, context);
 * ```
 */
export function occupancy(upstream: upstreamTable.UpstreamRecord, context: BalancingContext): number {
  const { name, slots, memoryTokens } = upstream.announcement;
  const own = context.dispatches.countSince(name, upstream.loadReportedAt);
  const reported = upstream.load;
  const running = (reported?.running ?? 0) + (reported?.waiting ?? 0) + own;
  const slotShare = slots > 0 ? running / slots : running / 100;
  if (memoryTokens === 0 || reported === undefined) {
    return slotShare;
  }
  const perRunning = reported.running > 0 ? reported.usedTokens / reported.running : 0;
  return Math.max(slotShare, (reported.usedTokens + own * perRunning) / memoryTokens);
}

function sampleUsable(
  request: types.PlacementRequest,
  candidates: readonly upstreamTable.UpstreamRecord[],
  context: BalancingContext,
): readonly upstreamTable.UpstreamRecord[] {
  const picked = new Set<upstreamTable.UpstreamRecord>();
  for (let attempt = 0; attempt < MAXIMUM_SAMPLE_ATTEMPTS && picked.size < SAMPLE_SIZE; attempt += 1) {
    const candidate = candidates[Math.floor(context.random.next() * candidates.length)];
    if (candidate !== undefined && isUsable(request, candidate, context)) {
      picked.add(candidate);
    }
  }
  // Random sampling can miss the only usable upstreams among many ejected ones; fall back to a full scan.
  return picked.size > 0
    ? [...picked]
    : candidates.filter((candidate) => isUsable(request, candidate, context));
}

function findCachedPrefix(
  request: types.PlacementRequest,
  candidates: readonly upstreamTable.UpstreamRecord[],
  context: BalancingContext,
): upstreamTable.UpstreamRecord | undefined {
  if (request.prefix === '') {
    return undefined;
  }
  return candidates.find(
    (candidate) =>
      context.table.hasPrefix(candidate.announcement.name, request.prefix) &&
      isUsable(request, candidate, context),
  );
}

/**
 * Selects the less occupied of two random candidates, or one with the cached prefix if its load is close to that.
 *
 * @param candidates - upstreams of its deployment
 * @returns the selected upstream; undefined if none is usable
 * @example
 * ```ts
 * const upstream = balancingPolicy.powerOfTwoChoices(request, directory.table.candidates('app=ledger-llm'), context);
 * ```
 */
export const powerOfTwoChoices: BalancingPolicy = (request, candidates, context) => {
  let best: upstreamTable.UpstreamRecord | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const candidate of sampleUsable(request, candidates, context)) {
    const score = occupancy(candidate, context);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  const cached = findCachedPrefix(request, candidates, context);
  if (cached !== undefined && occupancy(cached, context) <= bestScore + MAXIMUM_AFFINITY_PENALTY) {
    return cached;
  }
  return best;
};
