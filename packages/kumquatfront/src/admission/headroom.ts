/**
 * Headroom of an engine: whether one more generation fits under the forecast peak of its memory, with room
 * kept for urgent calls.
 */
import type * as upstreamTable from '../directory/upstreamTable.js';
import type * as estimates from '../estimates/lengthEstimator.js';
import type * as dispatchLedger from '../routing/dispatchLedger.js';
import type * as routing from '../routing/types.js';
import * as memoryForecast from './memoryForecast.js';

/** Settings of the headroom; shares are of the engine's memory or slots. */
export interface HeadroomSettings {
  /** Share kept free of patient work, for urgent calls and for forecasts that fall short. */
  readonly reservedMemory: number;
  readonly reservedSlots: number;
  /** Quantile of the final length that the forecast reckons with. */
  readonly lengthQuantile: number;
}

/** Settings found by `npm run measure`; see docs/design/policy.md. */
export const defaultSettings: HeadroomSettings = {
  reservedMemory: 0.12,
  reservedSlots: 0.15,
  lengthQuantile: 0.7,
};

/** What the headroom looks at. */
export interface HeadroomContext {
  readonly ledger: dispatchLedger.DispatchLedger;
  readonly estimator: estimates.LengthEstimator;
  readonly settings: HeadroomSettings;
}

function forecastOwn(upstream: string, context: HeadroomContext): memoryForecast.ForecastItem[] {
  const items: memoryForecast.ForecastItem[] = [];
  for (const dispatch of context.ledger.at(upstream)) {
    const { produced, promptTokens, estimateKeys } = dispatch;
    const final = context.estimator.quantile(estimateKeys, produced, context.settings.lengthQuantile);
    items.push({ held: promptTokens + produced, remaining: Math.max(1, final - produced) });
  }
  return items;
}

/** Generations that others placed there: the report minus what this process placed before it. */
function forecastOthers(
  upstream: upstreamTable.UpstreamRecord,
  request: routing.PlacementRequest,
  context: HeadroomContext,
): memoryForecast.ForecastItem[] {
  if (upstream.load === undefined) {
    return [];
  }
  let ownCount = 0;
  let ownHeld = 0;
  for (const dispatch of context.ledger.at(upstream.announcement.name)) {
    if (dispatch.since <= upstream.loadAt) {
      ownCount += 1;
      ownHeld += dispatch.promptTokens + dispatch.produced;
    }
  }
  const count = Math.max(0, upstream.load.running + upstream.load.waiting - ownCount);
  if (count === 0) {
    return [];
  }
  const held = Math.max(0, upstream.load.usedTokens - ownHeld) / count;
  const typical = context.estimator.quantile(request.estimateKeys.slice(-1), 0, 0.5);
  return Array.from({ length: count }, () => ({ held, remaining: Math.max(1, typical / 2) }));
}

/**
 * Memory that stays free at the forecast peak if the request is placed there.
 *
 * @param upstream - the engine
 * @param request - the request that would be added
 * @param context - what is known
 * @returns tokens; negative where it does not fit
 * @example
 * ```ts
 * const fits = headroom.after(engine, request, context) >= 0;
 * ```
 */
export function after(
  upstream: upstreamTable.UpstreamRecord,
  request: routing.PlacementRequest,
  context: HeadroomContext,
): number {
  const { name, slots, memoryTokens } = upstream.announcement;
  const items = [...forecastOwn(name, context), ...forecastOthers(upstream, request, context)];
  if (slots > 0 && items.length + 1 > Math.floor(slots * (1 - context.settings.reservedSlots))) {
    return Number.NEGATIVE_INFINITY;
  }
  const final = context.estimator.quantile(request.estimateKeys, 0, context.settings.lengthQuantile);
  items.push({ held: request.promptTokens, remaining: final });
  const usable = memoryTokens * (1 - context.settings.reservedMemory);
  // An engine with nothing on it takes any request: one whose estimate exceeds the memory must run somewhere.
  return items.length === 1
    ? Math.max(0, usable - memoryForecast.peak(items))
    : usable - memoryForecast.peak(items);
}
