/**
 * Moves generations off engines that are about to leave. What runs in an evacuated data centre is left to end there:
 * its engines go on, and the room elsewhere is for what they do not take any more.
 *
 * Pattern: an engine gives one and a half to two seconds of notice, and what runs there then is lost. Copies
 * share the links of source and target, so that ten begun at once are all late. Moved one after another for
 * each source, a generation pauses for a few tens of milliseconds only. Grounds: with all at once, six in ten
 * of what a day is worth was earned on the users' sites; one at a time, seven to nine in ten.
 */
import type * as ports from '../kernel/ports.js';
import type * as enginePool from './enginePool.js';
import type * as types from './types.js';

/** A generation with fewer tokens left than this ends before its engine does: half a second of decoding. */
const ENDS_BY_ITSELF = 48;

/**
 * Tokens that an engine still makes for each generation after its notice: a second and a half of decoding. A
 * generation that is likely to end within them need not be moved.
 */
const TOKENS_AFTER_NOTICE = 180;

/** Tries for one generation, each with another target. */
const MOST_TRIES = 3;

/** A move whose end is not heard by then is taken as lost: twice the copy of the largest prompt. */
export const MOVE_TIMEOUT: ports.Milliseconds = 3_000;

/** Being in the source's data centre, where a copy takes half as long, as share of memory: decisive. */
const SAME_DATA_CENTRE_BONUS = 1;

/** What the scheduler asks of those around it. */
export interface EvacuationHost {
  readonly pool: enginePool.EnginePool;
  readonly move: (
    entryAddress: string,
    command: types.MoveCommand,
    done: (outcome: types.MoveOutcome) => void,
  ) => void;
  readonly now: () => ports.Milliseconds;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
}

/** The scheduler; see the module comment. */
export class Evacuation {
  private readonly host: EvacuationHost;
  /** Generation that is being moved off each source. */
  private readonly moving = new Map<string, string>();
  private readonly tries = new Map<string, number>();
  /** Targets that had no room, by generation: their caches and copies are not in the forecast. */
  private readonly refusedBy = new Map<string, Set<string>>();

  constructor(host: EvacuationHost) {
    this.host = host;
  }

  /** Starts the next move of each leaving engine that has none under way. */
  pump(): void {
    const { pool } = this.host;
    const leaving = pool.engineList.filter((engine) => engine.leaving && engine.traits.migrations);
    for (const engine of leaving) {
      if (!this.moving.has(engine.identity)) {
        this.startNext(engine);
      }
    }
    if (leaving.length === 0) {
      this.tries.clear();
      this.refusedBy.clear();
    }
  }

  /**
   * What a copied token saves most goes first: worth grows with the output, cost with what is copied, and what
   * ends before the engine does needs no saving.
   */
  private inOrder(source: enginePool.Engine): readonly enginePool.Placed[] {
    const { pool } = this.host;
    const value = ({ running }: enginePool.Placed): number => {
      const { facts, produced } = running;
      const output = pool.lengths.expectedOutput(facts, produced);
      const needsSaving = Math.exp(-TOKENS_AFTER_NOTICE / Math.max(1, output - produced));
      return (needsSaving * (facts.promptTokens + 10 * output)) / (facts.promptTokens + produced);
    };
    return pool
      .placedOn(source.identity)
      .filter(({ running }) => running.started && (this.tries.get(this.tryOf(running)) ?? 0) < MOST_TRIES)
      .filter(({ running }) => pool.lengths.remaining(running.facts, running.produced) >= ENDS_BY_ITSELF)
      .sort((left, right) => value(right) - value(left));
  }

  private tryOf(running: types.RunningGeneration): string {
    return `${running.instance}/${running.facts.identity}`;
  }

  private startNext(source: enginePool.Engine): void {
    const { pool, log, metrics } = this.host;
    for (const placed of this.inOrder(source)) {
      const { running, entry } = placed;
      const address = pool.addressOf(entry);
      const target = this.targetFor(source, running);
      if (address === undefined || target === undefined) {
        continue;
      }
      const { identity } = running.facts;
      this.tries.set(this.tryOf(running), (this.tries.get(this.tryOf(running)) ?? 0) + 1);
      this.moving.set(source.identity, identity);
      pool.expectMove(identity, target.identity, this.host.now());
      log.info('moveStarted', {
        request: identity,
        source: source.identity,
        target: target.identity,
        produced: running.produced,
      });
      const command = { identity, source: source.identity, target: target.identity };
      this.host.move(address, command, (outcome) => {
        this.moving.delete(source.identity);
        pool.endMove(identity, outcome, this.host.now());
        metrics.count('placement.moves', 1, { outcome });
        if (outcome === 'failed') {
          const refused = this.refusedBy.get(identity) ?? new Set<string>();
          this.refusedBy.set(identity, refused.add(target.identity));
        }
        log.info('moveEnded', { request: identity, source: source.identity, outcome });
        this.pump();
      });
      return;
    }
  }

  private targetFor(
    source: enginePool.Engine,
    running: types.RunningGeneration,
  ): enginePool.Engine | undefined {
    const { pool } = this.host;
    const { facts, produced } = running;
    const busy = pool.engineList.filter((engine) => pool.receives(engine.identity));
    const refused = this.refusedBy.get(facts.identity) ?? new Set<string>();
    const excluded = new Set([source.identity, ...refused, ...busy.map((engine) => engine.identity)]);
    const find = (without: ReadonlySet<string>): enginePool.Engine | undefined =>
      pool.bestFor(
        {
          facts,
          produced,
          purpose: 'move',
          dataCentre: source.dataCentre,
          excluded: without,
          nearBonus: SAME_DATA_CENTRE_BONUS,
        },
        this.host.now(),
      );
    return find(excluded) ?? find(new Set([source.identity, ...refused]));
  }
}
