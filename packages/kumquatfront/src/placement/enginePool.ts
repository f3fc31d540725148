/**
 * The coordinator's model of the engines: which generations run on each, how much memory they are forecast to need,
 * and which engine is best for another one. Limiting the forecast prevents engines from running out of memory and
 * preempting generations, whose prompts would have to be processed again.
 */
import type * as ports from '../kernel/ports.js';
import type * as prefillAdmission from '../prefill/prefillAdmission.js';
import type * as prefillBacklog from '../prefill/prefillBacklog.js';
import * as prefillForecaster from '../prefill/prefillForecaster.js';
import * as residency from '../traffic/residency.js';
import type * as trafficTypes from '../traffic/types.js';
import * as slidingWindowCounter from '../warmUp/slidingWindowCounter.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as pauseProtection from '../streamPauses/pauseProtection.js';
import * as engineLoads from './engineLoads.js';
import * as lengthForecast from './lengthForecast.js';
import * as placementFeatures from './placementFeatures.js';
import * as memoryPeak from './memoryPeak.js';
import * as prefillEstimator from './prefillEstimator.js';
import type * as types from './types.js';

/** Class of a placement; each has its own limit in `MEMORY_LIMITS`. */
export type Purpose = 'patient' | 'late' | 'urgent' | 'resumed' | 'move';

/**
 * Share of an engine's memory up to which each class may fill it. For urgent generations, which are short, the memory
 * in use when they end counts; for all others the forecast peak. Patient ones leave free memory for resumed ones and moves,
 * which fit on fewer engines; late ones leave free memory for those that can still meet their objective.
 */
export const MEMORY_LIMITS: Readonly<Record<Purpose, number>> = {
  patient: 0.9,
  late: 0.4,
  urgent: 0.97,
  resumed: 0.95,
  move: 0.95,
};

/** Slots reserved for urgent generations. */
const RESERVED_SLOTS = 2;

/** Time after which a grant that no report confirms is dropped: two report intervals and a round trip. */
const UNREPORTED_GRANT_TIMEOUT: ports.Milliseconds = 900;

/** Time without a report after which an entry counts as crashed and its generations as cancelled. */
const REPORT_LEASE: ports.Milliseconds = 2_500;

/** Score bonus of engines in the preferred data centre, as share of memory. */
const SAME_DATA_CENTRE_BONUS = 0.05;

/** An engine that generations can be placed on. */
export interface Engine {
  readonly identity: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Software that it runs, as `software.of` returns it. */
  readonly software: string;
  /** True after a termination notice: nothing is placed on it, and its generations are moved. */
  readonly draining: boolean;
  /** True if its data centre is evacuated: running generations continue, and nothing else is placed on it. */
  readonly evacuated: boolean;
  /** Generations that may be started on it per second while it warms up; absent when it is warm. */
  readonly warmUpRateLimit?: number;
  readonly traits: trafficTypes.EngineTraits;
}

interface EntryState {
  readonly address: string;
  readonly epoch: string;
  readonly sequence: number;
  readonly lastReportAt: ports.Milliseconds;
}

/** Criteria for selecting an engine. */
export interface EngineQuery {
  readonly facts: types.GenerationAttributes;
  readonly produced: number;
  readonly purpose: Purpose;
  readonly dataCentre: string;
  readonly excluded: ReadonlySet<string>;
  /** Only engines that run this software are selected; absent if the generation has no events. */
  readonly software?: string;
  /** Score bonus of engines in `dataCentre`, as share of memory. */
  readonly localityBonus?: number;
  /** Engines with a longer estimated time to the first event are excluded. */
  readonly maximumTimeToFirstEvent?: ports.Milliseconds;
  /** Condition on the prefill forecast of an engine. */
  readonly acceptsForecast?: prefillAdmission.AcceptsForecast;
  /** Prefers the engine with the earliest first event; the score decides among near equals. */
  readonly earliestFirst?: boolean;
}

/**
 * Score penalty per millisecond to the first event, as share of memory: half a second, one long prompt, counts like a
 * quarter. Without it, an engine that has just started with empty memory would receive all new prompts and delay them. With
 * three times as much, engines would hold more generations than can be moved off them.
 */
const FIRST_EVENT_DELAY_WEIGHT = 0.25 / 500;

/** Difference of first events below which engines are near equals: about one decoding step. */
const EARLIER_STEP: ports.Milliseconds = 25;

/** Score penalty that outweighs all other terms of the score. */
const SCORE_PER_STEP = 1_000;

/** Time after which a prompt counts as processed even if no report confirms it, since its entry may have crashed. */
const PREFILL_TIMEOUT: ports.Milliseconds = 3_000;

/** Later first event of an urgent generation that is accepted to keep a running stream in time. */
const PAUSE_COST_DELAY: ports.Milliseconds = 400;

const NO_TOKENS: ReadonlyMap<string, number> = new Map();

/** Prefill paces of single engines; where they are absent, the pace of the service is used. */
export interface EnginePaceSource {
  readonly paceOf?: prefillBacklog.PrefillPace;
  /** Pace of an engine relative to its service, if `paceOf` is absent; 1 for all by default. */
  readonly relativePaceOf?: (engine: string, service: string) => number;
  /** Receives the time in milliseconds that an engine took for a prompt. */
  readonly observe?: (engine: string, service: string, tokens: number, elapsed: ports.Milliseconds) => void;
  /** Called for an engine that was removed from the list. */
  readonly remove?: (engine: string) => void;
}

/** Engines, the generations placed on them, and their forecast load. */
export class EnginePool {
  readonly lengths = new lengthForecast.LengthForecast();
  readonly prefillEstimator = new prefillEstimator.PrefillEstimator();
  private readonly pauses = new pauseProtection.PauseProtection({
    placedOn: (engine) => this.placedOn(engine),
    placedOf: (identity) => this.placed.get(identity),
    streamsOn: (engine) => this.currentLoads().streamsOn(engine),
  });
  readonly prefill: prefillForecaster.PrefillForecaster;
  private readonly isEnabled: placementFeatures.IsEnabled;
  private engines = new Map<string, Engine>();
  private readonly placed = new Map<string, types.PlacedGeneration>();
  private readonly entries = new Map<string, EntryState>();
  /** Target engine of each generation being moved; reports do not include its memory there yet. */
  private readonly moveTargets = new Map<string, string>();
  /** Recent starts on each engine, by placement or move. */
  private readonly recentStarts = new slidingWindowCounter.SlidingWindowCounter(warmUpBounds.COLD_WINDOW);
  /** Loads of the engines; undefined after a change. */
  private loads: engineLoads.EngineLoads | undefined;

  /** @param paces - prefill paces of single engines, learned elsewhere */
  constructor(
    isEnabled: placementFeatures.IsEnabled = placementFeatures.allEnabled,
    private readonly paces: EnginePaceSource = {},
  ) {
    this.isEnabled = isEnabled;
    this.prefill = new prefillForecaster.PrefillForecaster(
      this.prefillEstimator,
      paces.paceOf ?? ((engine, service) => this.learnedPaceOf(engine, service)),
      (observation) => {
        this.observePrefill(observation);
      },
    );
  }

  private learnedPaceOf(engine: string, service: string): number {
    const relativePace = this.paces.relativePaceOf?.(engine, service) ?? 1;
    return this.prefillEstimator.millisecondsPerTokenOf(service) * relativePace;
  }

  private observePrefill(observation: prefillBacklog.PrefillObservation): void {
    const { engine, service } = observation;
    const tokens = Math.max(1, observation.tokens);
    const elapsed = Math.max(1, observation.elapsed);
    this.paces.observe?.(engine, service, tokens, elapsed);
    this.pauses.forecast.observePrefill(engine, service, elapsed / tokens);
  }

  setEngines(engines: readonly Engine[]): void {
    const listed = new Map(engines.map((engine) => [engine.identity, engine]));
    for (const engine of this.engines.keys()) {
      if (!listed.has(engine)) {
        this.paces.remove?.(engine);
      }
    }
    this.engines = listed;
    this.pauses.forecast.retain((engine) => listed.has(engine));
  }

  get engineList(): readonly Engine[] {
    return [...this.engines.values()];
  }

  addressOf(entry: string): string | undefined {
    return this.entries.get(entry)?.address;
  }

  /** True if the entry has reported at or after `since`. */
  hasReportedSince(entry: string, since: number): boolean {
    return (this.entries.get(entry)?.lastReportAt ?? Number.NEGATIVE_INFINITY) >= since;
  }

  /** Replaces the running generations of an entry with those of its report. */
  applyReport(report: types.EntryReport, now: number): void {
    const { entry, epoch, sequence, address } = report;
    const known = this.entries.get(entry);
    if (known?.epoch === epoch && known.sequence >= sequence) {
      return;
    }
    this.entries.set(entry, { address, epoch, sequence, lastReportAt: now });
    const previous = new Map(this.placed);
    this.pauses.observeReport(report, now);
    for (const [identity, placed] of this.placed) {
      const isRecentGrant = !placed.reported && now - placed.grantedAt < UNREPORTED_GRANT_TIMEOUT;
      if (placed.entry === entry && !isRecentGrant) {
        this.placed.delete(identity);
      }
    }
    for (const running of report.generations) {
      const { identity } = running.facts;
      const known = previous.get(identity);
      const { placedAt, prefillTokens } = known ?? {
        placedAt: now,
        prefillTokens: running.facts.promptTokens,
      };
      this.placed.set(identity, { running, entry, grantedAt: now, placedAt, reported: true, prefillTokens });
      // Only generations without others ahead are observed, as the progress of the others' prefill is unknown.
      const isScheduled = this.isEnabled('prefillScheduling');
      const hadNoneAhead = prefillTokens === running.facts.promptTokens;
      if (!isScheduled && known !== undefined && hadNoneAhead && running.started && !known.running.started) {
        const { service } = running.facts;
        this.prefillEstimator.observe(service, prefillTokens, now - placedAt);
        const elapsed = now - placedAt - this.prefillEstimator.timeToFirstEvent(service, 0);
        this.observePrefill({ engine: running.instance, service, tokens: prefillTokens, elapsed });
      }
    }
    if (this.isEnabled('prefillScheduling')) {
      this.prefill.applyReport(report, now);
      for (const identity of previous.keys()) {
        if (!this.placed.has(identity)) {
          this.prefill.remove(identity, now);
        }
      }
    }
    for (const finished of report.finished) {
      this.lengths.observe(finished.facts, finished.produced);
    }
    this.loads = undefined;
  }

  /** Forecast time to the first event on an engine, of a generation that may already be placed there. */
  firstEventIn(instance: string, facts: types.GenerationAttributes, now: number): ports.Milliseconds {
    const isPlaced = this.placed.get(facts.identity)?.running.instance === instance;
    const tokens = isPlaced ? 0 : facts.promptTokens;
    const forecast = this.prefill.forecastOf(instance, facts.service, tokens, now);
    return Math.round(this.prefill.timeToFirstEvent(facts.service, forecast));
  }

  /** Engines of a service that may receive generations. */
  availableEnginesOf(service: string): readonly Engine[] {
    return this.engineList.filter(
      (engine) => engine.service === service && !engine.draining && !engine.evacuated,
    );
  }

  /** Removes generations of entries that stopped reporting; returns prompts that never reported a first event. */
  removeExpired(now: number): readonly prefillBacklog.Prompt[] {
    this.recentStarts.prune(now);
    const expired = this.prefill.removeExpired((engine) => this.engines.has(engine), now);
    for (const [identity, placed] of this.placed) {
      const lastReportAt = this.entries.get(placed.entry)?.lastReportAt ?? placed.grantedAt;
      if (now - Math.max(lastReportAt, placed.grantedAt) > REPORT_LEASE) {
        this.placed.delete(identity);
        this.prefill.remove(identity, now);
        this.loads = undefined;
      }
    }
    return expired;
  }

  /** Counts a granted generation on its engine until the entry's reports confirm it. */
  recordGrant(request: types.PlacementRequest, answer: types.Placement, now: number): void {
    const { facts, entry } = request;
    const { instance } = answer;
    const running = { facts, instance, produced: 0, started: false };
    const prefillTokens = facts.promptTokens + (this.pendingPrefillTokens(now).get(instance) ?? 0);
    this.recentStarts.add(instance, now);
    if (this.isEnabled('prefillScheduling')) {
      this.prefill.recordGrant(facts, instance, now);
    }
    this.placed.set(facts.identity, {
      running,
      entry,
      grantedAt: now,
      placedAt: now,
      reported: false,
      prefillTokens,
    });
    this.loads = undefined;
  }

  /** Counts a generation on the target of its move as well. */
  recordMoveStart(identity: string, target: string, now: number): void {
    this.moveTargets.set(identity, target);
    this.recentStarts.add(target, now);
    this.loads = undefined;
  }

  /** Applies the result of a move: the generation runs on the target, has ended, or remains on the source. */
  recordMoveEnd(identity: string, outcome: types.MoveOutcome, now: number): void {
    const target = this.moveTargets.get(identity);
    const placed = this.placed.get(identity);
    this.moveTargets.delete(identity);
    this.loads = undefined;
    if (outcome === 'ended') {
      this.placed.delete(identity);
      this.prefill.remove(identity, now);
    } else if (outcome === 'moved' && target !== undefined && placed !== undefined) {
      const running = { ...placed.running, instance: target };
      this.placed.set(identity, { ...placed, running, grantedAt: now, reported: false });
    }
  }

  /** True while a generation is being moved onto an engine. */
  isMoveTarget(instance: string): boolean {
    return [...this.moveTargets.values()].includes(instance);
  }

  placedOn(instance: string): readonly types.PlacedGeneration[] {
    return [...this.placed.values()].filter((placed) => placed.running.instance === instance);
  }

  placedOf(identity: string): types.PlacedGeneration | undefined {
    return this.placed.get(identity);
  }

  /** Memory of the generations on an engine, including moves to it. */
  memoryOn(instance: string): readonly memoryPeak.GenerationMemory[] {
    return this.currentLoads().memoryOn(instance);
  }

  /** All placed generations, including grants that are not reported yet. */
  placedGenerations(): Iterable<types.PlacedGeneration> {
    return this.placed.values();
  }

  get placedCount(): number {
    return this.placed.size;
  }

  private currentLoads(): engineLoads.EngineLoads {
    this.loads ??= new engineLoads.EngineLoads(this.placed, this.moveTargets, this.lengths);
    return this.loads;
  }

  /** Prompt tokens on each engine that are not processed yet. */
  private pendingPrefillTokens(now: number): Map<string, number> {
    const pending = new Map<string, number>();
    for (const { running, placedAt } of this.placed.values()) {
      if (!running.started && now - placedAt < PREFILL_TIMEOUT) {
        pending.set(running.instance, (pending.get(running.instance) ?? 0) + running.facts.promptTokens);
      }
    }
    return pending;
  }

  /** Selects the engine with the most free capacity after accepting the generation; undefined if none fits. */
  selectEngine(query: EngineQuery, now: number): Engine | undefined {
    const { facts, produced, purpose, dataCentre, excluded, localityBonus = SAME_DATA_CENTRE_BONUS } = query;
    const { maximumTimeToFirstEvent = Number.POSITIVE_INFINITY, acceptsForecast, earliestFirst } = query;
    const isScheduled = this.isEnabled('prefillScheduling');
    const ownPrefillTokens = purpose === 'move' ? 0 : facts.promptTokens;
    const loads = this.currentLoads();
    const pendingPrefill = isScheduled ? NO_TOKENS : this.pendingPrefillTokens(now);
    const heldTokens = facts.promptTokens + produced;
    const newGeneration = { held: heldTokens, remaining: this.lengths.remainingOutput(facts, produced) };
    const reservedSlots = purpose === 'patient' || purpose === 'late' ? RESERVED_SLOTS : 0;
    let best: Engine | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (const engine of this.engines.values()) {
      const isExcluded = engine.draining || engine.evacuated || excluded.has(engine.identity);
      const isAllowed = residency.allows(engine.dataCentre, facts.dataCentres);
      const isUnderRateLimit =
        this.recentStarts.countOf(engine.identity, now) <
        (engine.warmUpRateLimit ?? Number.POSITIVE_INFINITY);
      const isOther =
        engine.service !== facts.service || (query.software ?? engine.software) !== engine.software;
      if (isOther || isExcluded || !isAllowed || !isUnderRateLimit) {
        continue;
      }
      const forecast = isScheduled
        ? this.prefill.forecastOf(engine.identity, facts.service, ownPrefillTokens, now)
        : undefined;
      if (forecast !== undefined && acceptsForecast?.(forecast) === false) {
        continue;
      }
      const load = loads.memoryOn(engine.identity);
      const { memoryTokens, slots } = engine.traits;
      const generations = [...load, newGeneration];
      const neededTokens =
        purpose === 'urgent'
          ? memoryPeak.heldAt(generations, newGeneration.remaining)
          : memoryPeak.peakOf(generations);
      const memoryShare = neededTokens / memoryTokens;
      // An idle engine accepts a generation of any size, which would otherwise never be placed.
      const fits = memoryShare <= MEMORY_LIMITS[purpose] || load.length === 0;
      const prefillTokens = ownPrefillTokens + (pendingPrefill.get(engine.identity) ?? 0);
      const forecastTime =
        forecast !== undefined
          ? this.prefill.timeToFirstEvent(facts.service, forecast)
          : this.prefillEstimator.timeToFirstEvent(facts.service, prefillTokens);
      const timeToFirstEvent = this.isEnabled('readingPace') ? forecastTime : 0;
      const isEligible =
        (fits || !this.isEnabled('memoryBound')) &&
        load.length < slots - reservedSlots &&
        timeToFirstEvent <= maximumTimeToFirstEvent;
      if (!isEligible) {
        continue;
      }
      const locality = engine.dataCentre === dataCentre ? localityBonus : 0;
      const pauseCost = this.isEnabled('pauseProtection')
        ? this.pauses.costOf(
            {
              engine: engine.identity,
              facts,
              remaining: newGeneration.remaining,
              hasPrompt: purpose !== 'move',
            },
            now,
          )
        : 0;
      const steps =
        earliestFirst === true
          ? Math.round((timeToFirstEvent + pauseCost * PAUSE_COST_DELAY) / EARLIER_STEP)
          : pauseCost / SCORE_PER_STEP;
      const score =
        locality - memoryShare - timeToFirstEvent * FIRST_EVENT_DELAY_WEIGHT - steps * SCORE_PER_STEP;
      if (score > bestScore) {
        best = engine;
        bestScore = score;
      }
    }
    return best;
  }

  /** Formats each engine for the log: identity, generation count, forecast share of memory, and state flags. */
  describeLoads(): readonly string[] {
    const loads = this.currentLoads();
    return [...this.engines.values()].map((engine) => {
      const load = loads.memoryOn(engine.identity);
      const share = Math.round((100 * memoryPeak.peakOf(load)) / engine.traits.memoryTokens);
      return `${engine.identity}:${load.length}:${share}%${engine.draining ? ':leaving' : ''}${engine.evacuated ? ':evacuated' : ''}${engine.warmUpRateLimit === undefined ? '' : ':cold'}`;
    });
  }
}
