/**
 * Choice of an upstream among candidates: two random ones and the one that may have the prompt's prefix
 * cached are compared by what they are predicted to hold.
 */
import type * as upstreamTable from '../directory/upstreamTable.js';
import type * as ports from '../kernel/ports.js';
import type * as dispatchLedger from './dispatchLedger.js';
import type * as health from './health.js';
import type * as types from './types.js';

/** What a choice looks at. */
export interface ChoiceContext {
  readonly now: number;
  readonly table: upstreamTable.UpstreamTable;
  readonly ledger: dispatchLedger.DispatchLedger;
  readonly health: health.Health;
  readonly random: ports.Random;
}

/** Picks one of the candidates; undefined where none may be used. */
export type Choose = (
  request: types.PlacementRequest,
  candidates: readonly upstreamTable.UpstreamRecord[],
  context: ChoiceContext,
) => upstreamTable.UpstreamRecord | undefined;

/** An upstream with the prefix cached is taken while its score is at most this much above the best. */
const AFFINITY_ALLOWANCE = 0.25;
const SAMPLES = 2;
const SAMPLE_TRIES = 8;

/**
 * Tells whether an upstream may be used for a request.
 *
 * @param request - the request
 * @param upstream - the candidate
 * @param context - what is known
 * @returns false for one that has failed this request, is ejected or has no lease left
 * @example
 * ```ts
 * candidates.filter((upstream) => choice.isUsable(request, upstream, context));
 * ```
 */
export function isUsable(
  request: types.PlacementRequest,
  upstream: upstreamTable.UpstreamRecord,
  context: ChoiceContext,
): boolean {
  const { name } = upstream.announcement;
  const leased = upstream.expiresAt > context.now;
  return leased && !request.exclude.has(name) && !context.health.isEjected(name, context.now);
}

/**
 * Predicted occupancy of an upstream: the fuller of its slots and its memory, counting what this entry has
 * sent since the last report. Without that, every request of a report interval would go to the same one.
 *
 * @param upstream - the upstream
 * @param context - what is known
 * @returns 0 for an idle one, about 1 for a full one
 * @example
 * ```ts
 * const score = choice.occupancy(upstream, context);
 * ```
 */
export function occupancy(upstream: upstreamTable.UpstreamRecord, context: ChoiceContext): number {
  const { name, slots, memoryTokens } = upstream.announcement;
  const own = context.ledger.countSince(name, upstream.loadAt);
  const reported = upstream.load;
  const running = (reported?.running ?? 0) + (reported?.waiting ?? 0) + own;
  const slotShare = slots > 0 ? running / slots : running / 100;
  if (memoryTokens === 0 || reported === undefined) {
    return slotShare;
  }
  const perRunning = reported.running > 0 ? reported.usedTokens / reported.running : 0;
  return Math.max(slotShare, (reported.usedTokens + own * perRunning) / memoryTokens);
}

function sample(
  request: types.PlacementRequest,
  candidates: readonly upstreamTable.UpstreamRecord[],
  context: ChoiceContext,
): readonly upstreamTable.UpstreamRecord[] {
  const picked = new Set<upstreamTable.UpstreamRecord>();
  for (let attempt = 0; attempt < SAMPLE_TRIES && picked.size < SAMPLES; attempt += 1) {
    const candidate = candidates[Math.floor(context.random.next() * candidates.length)];
    if (candidate !== undefined && isUsable(request, candidate, context)) {
      picked.add(candidate);
    }
  }
  // Random tries can miss the last usable upstream among many that are ejected; a scan cannot.
  return picked.size > 0
    ? [...picked]
    : candidates.filter((candidate) => isUsable(request, candidate, context));
}

function withPrefix(
  request: types.PlacementRequest,
  candidates: readonly upstreamTable.UpstreamRecord[],
  context: ChoiceContext,
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
 * Two random choices by predicted occupancy, with prefix affinity bounded by load.
 *
 * @param request - what is to be placed
 * @param candidates - upstreams of its deployment
 * @param context - what is known of them
 * @returns the choice; undefined where none may be used
 * @example
 * ```ts
 * const upstream = choice.chooseOfTwo(request, directory.table.candidates('app=ledger-llm'), context);
 * ```
 */
export const chooseOfTwo: Choose = (request, candidates, context) => {
  let best: upstreamTable.UpstreamRecord | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const candidate of sample(request, candidates, context)) {
    const score = occupancy(candidate, context);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  const cached = withPrefix(request, candidates, context);
  if (cached !== undefined && occupancy(cached, context) <= bestScore + AFFINITY_ALLOWANCE) {
    return cached;
  }
  return best;
};
