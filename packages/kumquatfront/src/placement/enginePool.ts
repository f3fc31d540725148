/**
 * What the coordinator believes of each engine: which generations run there, what memory they are forecast
 * to need, and whether one more fits.
 *
 * Pattern: long generations that fill the memory of an engine together are preempted, read again, and late.
 * A bound on the forecast keeps them in the queue instead. Grounds: on the sites of the first users a bound
 * of 85 in 100 for patient work does away with preemptions; without it there are 20 to 200 in half a minute.
 */
import type * as ports from '../kernel/ports.js';
import type * as trafficTypes from '../traffic/types.js';
import * as lengthForecast from './lengthForecast.js';
import type * as types from './types.js';

/** Share of an engine's memory that patient generations are forecast to fill; see the module comment. */
export const PATIENT_MEMORY_SHARE = 0.85;

/** Share for urgent generations, which are short: what the patient ones leave, less a margin for error. */
export const URGENT_MEMORY_SHARE = 0.97;

/** Slots that patient generations leave free, so that an urgent one starts at once. */
const SLOTS_KEPT_FREE = 2;

/** A generation of this rank or above it is patient. */
export const PATIENT_RANK = 1;

/** Time for which a grant counts without being reported: two reports and a round trip. */
const GRANT_HOLDS: ports.Milliseconds = 900;

/** An entry whose reports stop for this long is dead, and what it ran was cancelled with its connections. */
const REPORT_LEASE: ports.Milliseconds = 2_500;

/** Forecast tokens per engine that being in the caller's data centre is worth, as share of its memory. */
const SAME_DATA_CENTRE_BONUS = 0.05;

/** An engine as the coordinator sees it. */
export interface Engine {
  readonly identity: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly leaving: boolean;
  readonly traits: trafficTypes.EngineTraits;
}

/** A generation that is placed, with the entry that serves it. */
export interface Placed {
  readonly running: types.RunningGeneration;
  readonly entry: string;
  readonly grantedAt: ports.Milliseconds;
  readonly reported: boolean;
}

interface KnownEntry {
  readonly address: string;
  readonly sequence: number;
  readonly heardAt: ports.Milliseconds;
}

/** The pool; see the module comment. */
export class EnginePool {
  private engines = new Map<string, Engine>();
  private readonly placed = new Map<string, Placed>();
  private readonly entries = new Map<string, KnownEntry>();
  /** Incoming moves: memory at the target that no report shows yet, by generation. */
  private readonly incoming = new Map<string, { readonly target: string; readonly memory: number }>();

  setEngines(engines: readonly Engine[]): void {
    this.engines = new Map(engines.map((engine) => [engine.identity, engine]));
  }

  engineOf(identity: string): Engine | undefined {
    return this.engines.get(identity);
  }

  get engineList(): readonly Engine[] {
    return [...this.engines.values()];
  }

  addressOf(entry: string): string | undefined {
    return this.entries.get(entry)?.address;
  }

  /** Replaces what an entry has running by its newest report. */
  report(report: types.EntryReport, now: number): void {
    const known = this.entries.get(report.entry);
    if (known !== undefined && known.sequence >= report.sequence && now - known.heardAt < REPORT_LEASE) {
      return;
    }
    this.entries.set(report.entry, { address: report.address, sequence: report.sequence, heardAt: now });
    for (const [identity, placed] of this.placed) {
      const fresh = !placed.reported && now - placed.grantedAt < GRANT_HOLDS;
      if (placed.entry === report.entry && !fresh) {
        this.placed.delete(identity);
      }
    }
    for (const running of report.generations) {
      this.placed.set(running.facts.identity, {
        running,
        entry: report.entry,
        grantedAt: now,
        reported: true,
      });
    }
  }

  /** Drops what entries ran that are silent, and grants that were never taken up. */
  expire(now: number): void {
    for (const [identity, placed] of this.placed) {
      const heardAt = this.entries.get(placed.entry)?.heardAt ?? placed.grantedAt;
      if (now - Math.max(heardAt, placed.grantedAt) > REPORT_LEASE) {
        this.placed.delete(identity);
      }
    }
  }

  grant(request: types.PlacementRequest, instance: string, now: number): void {
    this.placed.set(request.facts.identity, {
      running: { facts: request.facts, instance, produced: 0, started: false },
      entry: request.entry,
      grantedAt: now,
      reported: false,
    });
  }

  expectMove(identity: string, target: string): void {
    const placed = this.placed.get(identity);
    if (placed !== undefined) {
      const { facts, produced } = placed.running;
      this.incoming.set(identity, { target, memory: lengthForecast.peakMemory(facts, produced) });
    }
  }

  endMove(identity: string): void {
    this.incoming.delete(identity);
  }

  /** True while a generation is being moved onto an engine. */
  receives(instance: string): boolean {
    return [...this.incoming.values()].some((move) => move.target === instance);
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

  /** Forecast of tokens and count of generations on each engine, with moves that are on their way. */
  private loads(): Map<string, { memory: number; count: number }> {
    const loads = new Map<string, { memory: number; count: number }>();
    const add = (instance: string, memory: number): void => {
      const load = loads.get(instance) ?? { memory: 0, count: 0 };
      load.memory += memory;
      load.count += 1;
      loads.set(instance, load);
    };
    for (const { running } of this.placed.values()) {
      add(running.instance, lengthForecast.peakMemory(running.facts, running.produced));
    }
    for (const move of this.incoming.values()) {
      add(move.target, move.memory);
    }
    return loads;
  }

  /** The engine that has the most memory to spare after taking a generation in; undefined where none has room. */
  bestFor(
    facts: types.GenerationFacts,
    produced: number,
    dataCentre: string,
    excluded: ReadonlySet<string>,
    sameDataCentreBonus = SAME_DATA_CENTRE_BONUS,
  ): Engine | undefined {
    const loads = this.loads();
    const patient = facts.rank >= PATIENT_RANK;
    const needed = lengthForecast.peakMemory(facts, produced);
    let best: Engine | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (const engine of this.engines.values()) {
      if (engine.service !== facts.service || engine.leaving || excluded.has(engine.identity)) {
        continue;
      }
      const load = loads.get(engine.identity) ?? { memory: 0, count: 0 };
      const { memoryTokens, slots } = engine.traits;
      const bound = memoryTokens * (patient ? PATIENT_MEMORY_SHARE : URGENT_MEMORY_SHARE);
      // An engine with nothing on it takes a generation of any size: it would wait for ever otherwise.
      const fits = load.count === 0 || load.memory + needed <= bound;
      if (!fits || load.count >= slots - (patient ? SLOTS_KEPT_FREE : 0)) {
        continue;
      }
      const near = engine.dataCentre === dataCentre ? sameDataCentreBonus : 0;
      const score = 1 - load.memory / memoryTokens + near;
      if (score > bestScore) {
        best = engine;
        bestScore = score;
      }
    }
    return best;
  }

  /** One word for each engine: identity, generations, forecast share of its memory, and whether it leaves. */
  describe(): readonly string[] {
    const loads = this.loads();
    return [...this.engines.values()].map((engine) => {
      const load = loads.get(engine.identity) ?? { memory: 0, count: 0 };
      const share = Math.round((100 * load.memory) / engine.traits.memoryTokens);
      return `${engine.identity}:${load.count}:${share}%${engine.leaving ? ':leaving' : ''}`;
    });
  }

  /** Share of the slots of a service's engines that are taken. */
  takenShare(service: string): number {
    let slots = 0;
    let taken = 0;
    const loads = this.loads();
    for (const engine of this.engines.values()) {
      if (engine.service === service && !engine.leaving) {
        slots += engine.traits.slots;
        taken += loads.get(engine.identity)?.count ?? 0;
      }
    }
    return slots === 0 ? 1 : taken / slots;
  }
}
