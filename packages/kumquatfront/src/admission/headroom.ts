/**
 * Headroom of an engine: whether one more generation fits under the forecast peak of its memory, with room
 * kept for urgent calls.
 */
import type * as upstreamTable from '../directory/upstreamTable.js';
import type * as estimates from '../estimates/lengthEstimator.js';
import * as dispatchLedger from '../routing/dispatchLedger.js';
import type * as routing from '../routing/types.js';
import * as memoryForecast from './memoryForecast.js';

/** Settings of the headroom; shares are of the engine's memory or slots. */
export interface HeadroomSettings {
  /** Share kept free of patient work, for urgent calls and for forecasts that fall short. */
  readonly reservedMemory: number;
  readonly reservedSlots: number;
  /** Standard deviations above the mean that the forecast of memory reckons with. */
  readonly deviations: number;
}

/** Settings found by `npm run measure`; see docs/design/policy.md. */
export const defaultSettings: HeadroomSettings = {
  reservedMemory: 0.03,
  reservedSlots: 0.1,
  deviations: 1.5,
};

/** What the headroom looks at. */
export interface HeadroomContext {
  readonly ledger: dispatchLedger.DispatchLedger;
  readonly estimator: estimates.LengthEstimator;
  readonly settings: HeadroomSettings;
  readonly now: number;
}

function forecastOwn(upstream: string, context: HeadroomContext): memoryForecast.ForecastItem[] {
  const items: memoryForecast.ForecastItem[] = [];
  for (const dispatch of context.ledger.at(upstream)) {
    const { promptTokens, estimateKeys } = dispatch;
    const produced = dispatchLedger.producedBy(dispatch, context.now);
    const survival = context.estimator.survival(estimateKeys, produced, memoryForecast.HORIZONS);
    items.push({ held: promptTokens + produced, survival });
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
      ownHeld += dispatch.promptTokens + dispatchLedger.producedBy(dispatch, upstream.loadAt);
    }
  }
  const count = Math.max(0, upstream.load.running + upstream.load.waiting - ownCount);
  if (count === 0) {
    return [];
  }
  const held = Math.max(0, upstream.load.usedTokens - ownHeld) / count;
  const survival = context.estimator.survival(request.estimateKeys.slice(-1), 0, memoryForecast.HORIZONS);
  return Array.from({ length: count }, () => ({ held, survival }));
}

interface Remembered {
  readonly forecast: memoryForecast.Forecast;
  readonly count: number;
  readonly at: number;
  readonly ledgerVersion: number;
  readonly loadAt: number;
}

/** Time for which a forecast is used again while nothing was placed on the engine, milliseconds. */
const REMEMBERED_FOR = 100;

/** Headroom of engines; it remembers forecasts for a moment, as a queue asks for many requests in a row. */
export class Headroom {
  private readonly remembered = new Map<string, Remembered>();

  private forecastOf(
    upstream: upstreamTable.UpstreamRecord,
    request: routing.PlacementRequest,
    context: HeadroomContext,
  ): Remembered {
    const { name } = upstream.announcement;
    const ledgerVersion = context.ledger.versionAt(name);
    const known = this.remembered.get(name);
    const current = known?.ledgerVersion === ledgerVersion && known.loadAt === upstream.loadAt;
    if (known !== undefined && current && context.now - known.at < REMEMBERED_FOR) {
      return known;
    }
    const items = [...forecastOwn(name, context), ...forecastOthers(upstream, request, context)];
    const forecast = memoryForecast.of(items);
    const created = {
      forecast,
      count: items.length,
      at: context.now,
      ledgerVersion,
      loadAt: upstream.loadAt,
    };
    this.remembered.set(name, created);
    return created;
  }

  /**
   * Memory that stays free at the forecast peak if a request is placed on an engine.
   *
   * @param upstream - the engine
   * @param request - the request that would be added
   * @param survival - its probability to be alive at each horizon
   * @param context - what is known
   * @returns tokens; negative where it does not fit
   */
  after(
    upstream: upstreamTable.UpstreamRecord,
    request: routing.PlacementRequest,
    survival: readonly number[],
    context: HeadroomContext,
  ): number {
    const { slots, memoryTokens } = upstream.announcement;
    const { reservedSlots, reservedMemory, deviations } = context.settings;
    const { forecast, count } = this.forecastOf(upstream, request, context);
    if (slots > 0 && count + 1 > Math.floor(slots * (1 - reservedSlots))) {
      return Number.NEGATIVE_INFINITY;
    }
    const peak = memoryForecast.peakWith(forecast, { held: request.promptTokens, survival }, deviations);
    const room = memoryTokens * (1 - reservedMemory) - peak;
    // An engine with nothing on it takes any request: one whose forecast exceeds the memory must run somewhere.
    return count === 0 ? Math.max(0, room) : room;
  }

  forget(upstream: string): void {
    this.remembered.delete(upstream);
  }
}
