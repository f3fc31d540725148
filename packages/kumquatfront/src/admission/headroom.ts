/**
 * Computes the headroom of an engine: the memory left at the forecast peak if one more generation is placed on it,
 * with a reserve for urgent requests.
 */
import type * as upstreamTable from '../directory/upstreamTable.js';
import type * as estimates from '../estimates/lengthEstimator.js';
import * as dispatchTracker from '../routing/dispatchTracker.js';
import type * as routing from '../routing/types.js';
import * as memoryForecast from './memoryForecast.js';

/** Headroom settings; reserves are fractions of the engine's memory or slots. */
export interface HeadroomSettings {
  /** Fraction not used for patient requests, reserved for urgent requests and forecast errors. */
  readonly reservedMemory: number;
  readonly reservedSlots: number;
  /** Number of standard deviations above the mean used for the memory forecast. */
  readonly deviations: number;
}

/** Default settings; see docs/design/policy.md. */
export const defaultSettings: HeadroomSettings = {
  reservedMemory: 0.03,
  reservedSlots: 0.1,
  deviations: 1.5,
};

/** State that the headroom is computed from. */
export interface HeadroomContext {
  readonly dispatches: dispatchTracker.DispatchTracker;
  readonly estimator: estimates.LengthEstimator;
  readonly settings: HeadroomSettings;
  readonly now: number;
}

function forecastLocalDispatches(
  upstream: string,
  context: HeadroomContext,
): memoryForecast.GenerationMemory[] {
  const items: memoryForecast.GenerationMemory[] = [];
  for (const dispatch of context.dispatches.dispatchesTo(upstream)) {
    const { promptTokens, estimateKeys } = dispatch;
    const produced = dispatchTracker.estimateProducedTokens(dispatch, context.now);
    const survival = context.estimator.survivalProbabilities(estimateKeys, produced, memoryForecast.HORIZONS);
    items.push({ heldTokens: promptTokens + produced, survival });
  }
  return items;
}

/** Generations placed by other processes: the reported load minus what this process had placed by then. */
function forecastOtherGenerations(
  upstream: upstreamTable.UpstreamRecord,
  request: routing.PlacementRequest,
  context: HeadroomContext,
): memoryForecast.GenerationMemory[] {
  if (upstream.load === undefined) {
    return [];
  }
  let ownCount = 0;
  let ownTokens = 0;
  for (const dispatch of context.dispatches.dispatchesTo(upstream.announcement.name)) {
    if (dispatch.dispatchedAt <= upstream.loadReportedAt) {
      ownCount += 1;
      ownTokens +=
        dispatch.promptTokens + dispatchTracker.estimateProducedTokens(dispatch, upstream.loadReportedAt);
    }
  }
  const count = Math.max(0, upstream.load.running + upstream.load.waiting - ownCount);
  if (count === 0) {
    return [];
  }
  const heldTokens = Math.max(0, upstream.load.usedTokens - ownTokens) / count;
  const survival = context.estimator.survivalProbabilities(
    request.estimateKeys.slice(-1),
    0,
    memoryForecast.HORIZONS,
  );
  return Array.from({ length: count }, () => ({ heldTokens, survival }));
}

interface CachedForecast {
  readonly forecast: memoryForecast.Forecast;
  readonly generationCount: number;
  readonly createdAt: number;
  readonly dispatchesVersion: number;
  readonly loadReportedAt: number;
}

/** Milliseconds for which a forecast is reused while the dispatches to the engine are unchanged. */
const CACHE_TTL = 100;

/** Computes headroom and caches forecasts briefly, because a queue evaluates many requests in a row. */
export class Headroom {
  private readonly cache = new Map<string, CachedForecast>();

  private forecastOf(
    upstream: upstreamTable.UpstreamRecord,
    request: routing.PlacementRequest,
    context: HeadroomContext,
  ): CachedForecast {
    const { name } = upstream.announcement;
    const dispatchesVersion = context.dispatches.versionOf(name);
    const cached = this.cache.get(name);
    const isCurrent =
      cached?.dispatchesVersion === dispatchesVersion && cached.loadReportedAt === upstream.loadReportedAt;
    if (cached !== undefined && isCurrent && context.now - cached.createdAt < CACHE_TTL) {
      return cached;
    }
    const items = [
      ...forecastLocalDispatches(name, context),
      ...forecastOtherGenerations(upstream, request, context),
    ];
    const forecast = memoryForecast.forGenerations(items);
    const created = {
      forecast,
      generationCount: items.length,
      createdAt: context.now,
      dispatchesVersion,
      loadReportedAt: upstream.loadReportedAt,
    };
    this.cache.set(name, created);
    return created;
  }

  /**
   * Returns the memory that remains free at the forecast peak if a request is placed on an engine.
   *
   * @param upstream - the engine
   * @param request - the request to place
   * @param survival - probability that its generation is still running at each horizon
   * @returns free tokens; negative if the request does not fit
   */
  freeTokensAfterPlacing(
    upstream: upstreamTable.UpstreamRecord,
    request: routing.PlacementRequest,
    survival: readonly number[],
    context: HeadroomContext,
  ): number {
    const { slots, memoryTokens } = upstream.announcement;
    const { reservedSlots, reservedMemory, deviations } = context.settings;
    const { forecast, generationCount } = this.forecastOf(upstream, request, context);
    if (slots > 0 && generationCount + 1 > Math.floor(slots * (1 - reservedSlots))) {
      return Number.NEGATIVE_INFINITY;
    }
    const peak = memoryForecast.peakWith(
      forecast,
      { heldTokens: request.promptTokens, survival },
      deviations,
    );
    const freeTokens = memoryTokens * (1 - reservedMemory) - peak;
    // An idle engine accepts any request, so that one whose forecast exceeds the memory can still run.
    return generationCount === 0 ? Math.max(0, freeTokens) : freeTokens;
  }

  removeUpstream(upstream: string): void {
    this.cache.delete(upstream);
  }
}
