/**
 * What the coordinator believes of each engine: which generations run there, what memory they are forecast
 * to need, and whether one more fits.
 *
 * Pattern: long generations that fill the memory of an engine together are preempted, read again, and late.
 * A bound on the forecast keeps them in the queue instead. Grounds: on the sites of the first users a bound
 * for patient work does away with preemptions; without it there are 20 to 200 in half a minute.
 */
import type * as ports from '../kernel/ports.js';
import * as residency from '../traffic/residency.js';
import type * as trafficTypes from '../traffic/types.js';
import * as recentCount from '../warmUp/recentCount.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as lengthForecast from './lengthForecast.js';
import * as mechanisms from './mechanisms.js';
import * as memoryPeak from './memoryPeak.js';
import * as readingPace from './readingPace.js';
import type * as types from './types.js';

/** What a place is wanted for; each has a bound of its own on the share of memory that is forecast to fill. */
export type Purpose = 'patient' | 'late' | 'urgent' | 'move';

/**
 * Shares of an engine's memory. Urgent generations are short: what counts for them is the memory that is held
 * until they end, not the peak that the long ones reach seconds later. Patient ones leave room for what moves off
 * engines that leave. Late ones earn a seventh of the others, so they get what nobody in time is about to need.
 */
export const MEMORY_SHARES: Readonly<Record<Purpose, number>> = {
  patient: 0.9,
  late: 0.4,
  urgent: 0.97,
  move: 0.95,
};

/** Slots that patient generations leave free, so that an urgent one starts at once. */
const SLOTS_KEPT_FREE = 2;

/** Time for which a grant counts without being reported: two reports and a round trip. */
const GRANT_HOLDS: ports.Milliseconds = 900;

/** An entry whose reports stop for this long is dead, and what it ran was cancelled with its connections. */
const REPORT_LEASE: ports.Milliseconds = 2_500;

/** Being in the wanted data centre, as share of an engine's memory. */
const SAME_DATA_CENTRE_BONUS = 0.05;

/** An engine as the coordinator sees it. */
export interface Engine {
  readonly identity: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly leaving: boolean;
  /** True where its data centre is evacuated: what runs there goes on, and nothing else is placed there. */
  readonly evacuated: boolean;
  /** Generations that may be placed on it in any second; left out where it is warm. */
  readonly tolerated?: number;
  readonly traits: trafficTypes.EngineTraits;
}

/** A generation that is placed, with the entry that serves it. */
export interface Placed {
  readonly running: types.RunningGeneration;
  readonly entry: string;
  readonly grantedAt: ports.Milliseconds;
  /** When the generation was placed or first reported. */
  readonly beganAt: ports.Milliseconds;
  readonly reported: boolean;
  /** Prompt tokens that had to be read before its first event when it was placed, its own among them. */
  readonly toRead: number;
}

interface KnownEntry {
  readonly address: string;
  readonly epoch: string;
  readonly sequence: number;
  readonly heardAt: ports.Milliseconds;
}

/** What is sought. */
export interface Search {
  readonly facts: types.GenerationFacts;
  readonly produced: number;
  readonly purpose: Purpose;
  readonly dataCentre: string;
  readonly excluded: ReadonlySet<string>;
  /** What being in the data centre is worth, as share of memory. */
  readonly nearBonus?: number;
  /** Engines that would need longer than this to the first event are left out. */
  readonly firstEventWithin?: ports.Milliseconds;
}

/**
 * Time to the first event counts against an engine like this share of its memory a millisecond: half a second, one
 * long prompt, like a quarter. So an engine that has just started, with its memory empty, gets one prompt after
 * another and not all that come. Three times as much leaves generations unevenly spread: on a quiet day of the
 * users' first site three or four were lost with engines that held more than could be moved off them, one otherwise.
 */
const SHARE_FOR_MILLISECOND = 0.25 / 500;

/** A prompt counts as read after this long where no report has said so: its entry may be gone. */
const READ_AFTER: ports.Milliseconds = 3_000;

const EMPTY: readonly memoryPeak.Growth[] = [];

/** The pool; see the module comment. */
export class EnginePool {
  readonly lengths = new lengthForecast.LengthForecast();
  readonly pace = new readingPace.ReadingPace();
  private readonly isOn: mechanisms.IsOn;
  private engines = new Map<string, Engine>();
  private readonly placed = new Map<string, Placed>();
  private readonly entries = new Map<string, KnownEntry>();
  /** Generations that are being moved, with their targets: memory there that no report shows yet. */
  private readonly incoming = new Map<string, string>();
  /** Generations that were placed on each engine or moved there. */
  private readonly sent = new recentCount.RecentCount(warmUpBounds.COLD_WINDOW);
  private loads: Map<string, memoryPeak.Growth[]> | undefined;

  constructor(isOn: mechanisms.IsOn = mechanisms.allOn) {
    this.isOn = isOn;
  }

  setEngines(engines: readonly Engine[]): void {
    this.engines = new Map(engines.map((engine) => [engine.identity, engine]));
  }

  get engineList(): readonly Engine[] {
    return [...this.engines.values()];
  }

  addressOf(entry: string): string | undefined {
    return this.entries.get(entry)?.address;
  }

  /** True where an entry has reported since a moment. */
  hasHeardFrom(entry: string, since: number): boolean {
    return (this.entries.get(entry)?.heardAt ?? Number.NEGATIVE_INFINITY) >= since;
  }

  /** Replaces what an entry has running by its newest report. */
  report(report: types.EntryReport, now: number): void {
    const { entry, epoch, sequence, address } = report;
    const known = this.entries.get(entry);
    if (known?.epoch === epoch && known.sequence >= sequence) {
      return;
    }
    this.entries.set(entry, { address, epoch, sequence, heardAt: now });
    const former = new Map(this.placed);
    for (const [identity, placed] of this.placed) {
      const fresh = !placed.reported && now - placed.grantedAt < GRANT_HOLDS;
      if (placed.entry === entry && !fresh) {
        this.placed.delete(identity);
      }
    }
    for (const running of report.generations) {
      const { identity } = running.facts;
      const known = former.get(identity);
      const { beganAt, toRead } = known ?? { beganAt: now, toRead: running.facts.promptTokens };
      this.placed.set(identity, { running, entry, grantedAt: now, beganAt, reported: true, toRead });
      // Those with others before them tell less: how far the others had been read is not known.
      const alone = toRead === running.facts.promptTokens;
      if (known !== undefined && alone && running.started && !known.running.started) {
        this.pace.learn(running.facts.service, toRead, now - beganAt);
      }
    }
    for (const finished of report.finished) {
      this.lengths.learn(finished.facts, finished.produced);
    }
    this.loads = undefined;
  }

  /** Drops what entries ran that are silent, and grants that were never taken up. */
  expire(now: number): void {
    this.sent.prune(now);
    for (const [identity, placed] of this.placed) {
      const heardAt = this.entries.get(placed.entry)?.heardAt ?? placed.grantedAt;
      if (now - Math.max(heardAt, placed.grantedAt) > REPORT_LEASE) {
        this.placed.delete(identity);
        this.loads = undefined;
      }
    }
  }

  grant(request: types.PlacementRequest, answer: types.Placement, now: number): void {
    const { facts, entry } = request;
    const { instance } = answer;
    const running = { facts, instance, produced: 0, started: false };
    const toRead = facts.promptTokens + (this.unreadPrompts(now).get(instance) ?? 0);
    this.sent.add(instance, now);
    this.placed.set(facts.identity, {
      running,
      entry,
      grantedAt: now,
      beganAt: now,
      reported: false,
      toRead,
    });
    this.loads = undefined;
  }

  expectMove(identity: string, target: string, now: number): void {
    this.incoming.set(identity, target);
    this.sent.add(target, now);
    this.loads = undefined;
  }

  /** Notes the end of a move: the generation runs at its target from now on, or has ended, or stays. */
  endMove(identity: string, outcome: types.MoveOutcome, now: number): void {
    const target = this.incoming.get(identity);
    const placed = this.placed.get(identity);
    this.incoming.delete(identity);
    this.loads = undefined;
    if (outcome === 'ended') {
      this.placed.delete(identity);
    } else if (outcome === 'moved' && target !== undefined && placed !== undefined) {
      const running = { ...placed.running, instance: target };
      this.placed.set(identity, { ...placed, running, grantedAt: now, reported: false });
    }
  }

  /** True while a generation is being moved onto an engine. */
  receives(instance: string): boolean {
    return [...this.incoming.values()].includes(instance);
  }

  placedOn(instance: string): readonly Placed[] {
    return [...this.placed.values()].filter((placed) => placed.running.instance === instance);
  }

  placedOf(identity: string): Placed | undefined {
    return this.placed.get(identity);
  }

  get placedCount(): number {
    return this.placed.size;
  }

  private growthOf(running: types.RunningGeneration): memoryPeak.Growth {
    const { facts, produced } = running;
    return { held: facts.promptTokens + produced, remaining: this.lengths.remaining(facts, produced) };
  }

  /** What each engine holds: generations, and moves that are on their way. */
  private loadsOf(): Map<string, memoryPeak.Growth[]> {
    if (this.loads !== undefined) {
      return this.loads;
    }
    const loads = new Map<string, memoryPeak.Growth[]>();
    const add = (instance: string | undefined, growth: memoryPeak.Growth): void => {
      if (instance !== undefined) {
        const held = loads.get(instance);
        if (held === undefined) {
          loads.set(instance, [growth]);
        } else {
          held.push(growth);
        }
      }
    };
    for (const [identity, { running }] of this.placed) {
      const growth = this.growthOf(running);
      add(running.instance, growth);
      add(this.incoming.get(identity), growth);
    }
    this.loads = loads;
    return loads;
  }

  /** Prompt tokens on each engine that are not read yet. */
  private unreadPrompts(now: number): Map<string, number> {
    const unread = new Map<string, number>();
    for (const { running, beganAt } of this.placed.values()) {
      if (!running.started && now - beganAt < READ_AFTER) {
        unread.set(running.instance, (unread.get(running.instance) ?? 0) + running.facts.promptTokens);
      }
    }
    return unread;
  }

  /** The engine that has the most to spare after taking a generation in; undefined where none has room. */
  bestFor(search: Search, now: number): Engine | undefined {
    const { facts, produced, purpose, dataCentre, excluded, nearBonus = SAME_DATA_CENTRE_BONUS } = search;
    const { firstEventWithin = Number.POSITIVE_INFINITY } = search;
    const ownPrompt = purpose === 'move' ? 0 : facts.promptTokens;
    const loads = this.loadsOf();
    const unread = this.unreadPrompts(now);
    const held = facts.promptTokens + produced;
    const growth = { held, remaining: this.lengths.remaining(facts, produced) };
    const keptFree = purpose === 'patient' || purpose === 'late' ? SLOTS_KEPT_FREE : 0;
    let best: Engine | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (const engine of this.engines.values()) {
      const isClosed = engine.leaving || engine.evacuated || excluded.has(engine.identity);
      const isAllowed = residency.allows(engine.dataCentre, facts.dataCentres);
      const toleratesMore =
        this.sent.of(engine.identity, now) < (engine.tolerated ?? Number.POSITIVE_INFINITY);
      if (engine.service !== facts.service || isClosed || !isAllowed || !toleratesMore) {
        continue;
      }
      const load = loads.get(engine.identity) ?? EMPTY;
      const { memoryTokens, slots } = engine.traits;
      const all = [...load, growth];
      const needed = purpose === 'urgent' ? memoryPeak.heldAt(all, growth.remaining) : memoryPeak.peakOf(all);
      const filled = needed / memoryTokens;
      // An engine with nothing on it takes a generation of any size: it would wait for ever otherwise.
      const fits = filled <= MEMORY_SHARES[purpose] || load.length === 0;
      const toRead = ownPrompt + (unread.get(engine.identity) ?? 0);
      const firstEvent = this.isOn('readingPace') ? this.pace.timeToFirstEvent(facts.service, toRead) : 0;
      const near = engine.dataCentre === dataCentre ? nearBonus : 0;
      const score = near - filled - firstEvent * SHARE_FOR_MILLISECOND;
      const takes =
        (fits || !this.isOn('memoryBound')) &&
        load.length < slots - keptFree &&
        firstEvent <= firstEventWithin;
      if (takes && score > bestScore) {
        best = engine;
        bestScore = score;
      }
    }
    return best;
  }

  /** One word for each engine: identity, generations, forecast share of its memory, and whether it leaves. */
  describe(): readonly string[] {
    const loads = this.loadsOf();
    return [...this.engines.values()].map((engine) => {
      const load = loads.get(engine.identity) ?? EMPTY;
      const share = Math.round((100 * memoryPeak.peakOf(load)) / engine.traits.memoryTokens);
      return `${engine.identity}:${load.length}:${share}%${engine.leaving ? ':leaving' : ''}${engine.evacuated ? ':evacuated' : ''}${engine.tolerated === undefined ? '' : ':cold'}`;
    });
  }
}
