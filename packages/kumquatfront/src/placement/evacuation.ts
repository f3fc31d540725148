/**
 * Moves generations off engines that are about to leave.
 *
 * Pattern: an engine gives one and a half to two seconds of notice, and what runs there then is lost. Copies
 * share the links of source and target, so that ten begun at once are all late. Moved one after another for
 * each source, a generation pauses for a few tens of milliseconds only. Grounds: with all at once, six in ten
 * of what a day is worth was earned on the users' sites; one at a time, seven to nine in ten.
 */
import type * as ports from '../kernel/ports.js';
import type * as enginePool from './enginePool.js';
import * as lengthForecast from './lengthForecast.js';
import type * as types from './types.js';

/** A generation with fewer tokens left than this ends before its engine does: half a second of decoding. */
const ENDS_BY_ITSELF = 48;

/** Tries for one generation; a target that had no room a moment ago seldom has it now. */
const MOST_TRIES = 2;

/** A move whose end is not heard by then is taken as lost: twice the copy of the largest prompt. */
export const MOVE_TIMEOUT: ports.Milliseconds = 3_000;

/** How much worth it is to stay in the data centre, where a copy takes half as long: decisive. */
const SAME_DATA_CENTRE_FIRST = 1;

/** What the scheduler asks of those around it. */
export interface EvacuationHost {
  readonly pool: enginePool.EnginePool;
  readonly move: (
    entryAddress: string,
    command: types.MoveCommand,
    done: (outcome: types.MoveOutcome) => void,
  ) => void;
  readonly log: ports.Log;
}

/** The scheduler; see the module comment. */
export class Evacuation {
  private readonly host: EvacuationHost;
  /** Generation that is being moved off each source. */
  private readonly moving = new Map<string, string>();
  private readonly tries = new Map<string, number>();

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
    }
  }

  /** The most that a copied token saves goes first: worth grows with the output, cost with what is copied. */
  private inOrder(source: enginePool.Engine): readonly enginePool.Placed[] {
    const value = ({ running }: enginePool.Placed): number => {
      const output = lengthForecast.expectedOutput(running.facts, running.produced);
      return (running.facts.promptTokens + 10 * output) / (running.facts.promptTokens + running.produced);
    };
    return this.host.pool
      .placedOn(source.identity)
      .filter(({ running }) => running.started && (this.tries.get(this.tryOf(running)) ?? 0) < MOST_TRIES)
      .filter(
        ({ running }) =>
          lengthForecast.expectedOutput(running.facts, running.produced) - running.produced >=
            ENDS_BY_ITSELF || running.produced === 0,
      )
      .sort((left, right) => value(right) - value(left));
  }

  private tryOf(running: types.RunningGeneration): string {
    return `${running.instance}/${running.facts.identity}`;
  }

  private startNext(source: enginePool.Engine): void {
    const { pool, log } = this.host;
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
      pool.expectMove(identity, target.identity);
      log.info('moveStarted', {
        request: identity,
        source: source.identity,
        target: target.identity,
        produced: running.produced,
      });
      const command = { identity, source: source.identity, target: target.identity };
      this.host.move(address, command, (outcome) => {
        this.moving.delete(source.identity);
        pool.endMove(identity);
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
    const excluded = new Set([source.identity, ...busy.map((engine) => engine.identity)]);
    const find = (refused: ReadonlySet<string>): enginePool.Engine | undefined =>
      pool.bestFor(facts, produced, source.dataCentre, refused, SAME_DATA_CENTRE_FIRST);
    return find(excluded) ?? find(new Set([source.identity]));
  }
}
