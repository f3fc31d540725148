/**
 * Moves running generations off engines that have sent a termination notice. Each source moves one generation at a
 * time, since concurrent copies share its network link and none might complete before the engine terminates.
 * Generations in an evacuated data centre are not moved, because its engines keep running.
 */
import type * as ports from '../kernel/ports.js';
import type * as enginePool from './enginePool.js';
import type * as types from './types.js';

/** A generation with fewer remaining tokens, half a second of decoding, completes before its engine terminates. */
const MINIMUM_REMAINING_TOKENS = 48;

/**
 * Tokens that an engine produces for each generation between its termination notice and its termination: a second and a
 * half of decoding. Engines give one and a half to two seconds of notice.
 */
const TOKENS_BEFORE_TERMINATION = 180;

/** Maximum number of moves attempted for one generation, each to another target. */
const MAXIMUM_ATTEMPTS = 3;

/** Time after which a move without a result counts as failed: twice the copy of the largest prompt. */
export const MOVE_TIMEOUT: ports.Milliseconds = 3_000;

/** Score bonus of targets in the source's data centre; outweighs all other criteria, as copies are faster there. */
const SAME_DATA_CENTRE_BONUS = 1;

/** Dependencies of the scheduler. */
export interface EvacuationOptions {
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

/** Schedules the moves off draining engines. */
export class EvacuationScheduler {
  private readonly options: EvacuationOptions;
  /** Generation being moved, by source engine. */
  private readonly activeMoves = new Map<string, string>();
  /** Number of moves attempted, by engine and generation. */
  private readonly attempts = new Map<string, number>();
  /** Targets to which a move failed, by generation; their free memory may be less than forecast. */
  private readonly rejectedTargets = new Map<string, Set<string>>();

  constructor(options: EvacuationOptions) {
    this.options = options;
  }

  /** Starts the next move of each draining engine that has none in progress. */
  startMoves(): void {
    const { pool } = this.options;
    const draining = pool.engineList.filter((engine) => engine.draining && engine.traits.migrations);
    for (const engine of draining) {
      if (!this.activeMoves.has(engine.identity)) {
        this.startNextMove(engine);
      }
    }
    if (draining.length === 0) {
      this.attempts.clear();
      this.rejectedTargets.clear();
    }
  }

  /**
   * Generations to move, in descending order of benefit per copied token: the work that would be lost, weighted by
   * the probability that the generation does not complete before its engine terminates.
   */
  private moveCandidates(source: enginePool.Engine): readonly types.PlacedGeneration[] {
    const { pool } = this.options;
    const moveValue = ({ running }: types.PlacedGeneration): number => {
      const { facts, produced } = running;
      const expectedOutput = pool.lengths.totalOutput(facts, produced);
      const lossProbability = Math.exp(-TOKENS_BEFORE_TERMINATION / Math.max(1, expectedOutput - produced));
      return (lossProbability * (facts.promptTokens + 10 * expectedOutput)) / (facts.promptTokens + produced);
    };
    return pool
      .placedOn(source.identity)
      .filter(
        ({ running }) =>
          running.started && (this.attempts.get(this.attemptKey(running)) ?? 0) < MAXIMUM_ATTEMPTS,
      )
      .filter(
        ({ running }) =>
          pool.lengths.remainingOutput(running.facts, running.produced) >= MINIMUM_REMAINING_TOKENS,
      )
      .sort((left, right) => moveValue(right) - moveValue(left));
  }

  private attemptKey(running: types.RunningGeneration): string {
    return `${running.instance}/${running.facts.identity}`;
  }

  private startNextMove(source: enginePool.Engine): void {
    const { pool, log, metrics } = this.options;
    for (const placed of this.moveCandidates(source)) {
      const { running, entry } = placed;
      const address = pool.addressOf(entry);
      const target = this.selectTarget(source, running);
      if (address === undefined || target === undefined) {
        continue;
      }
      const { identity } = running.facts;
      this.attempts.set(this.attemptKey(running), (this.attempts.get(this.attemptKey(running)) ?? 0) + 1);
      this.activeMoves.set(source.identity, identity);
      pool.recordMoveStart(identity, target.identity, this.options.now());
      log.info('moveStarted', {
        request: identity,
        source: source.identity,
        target: target.identity,
        produced: running.produced,
      });
      const command = { identity, source: source.identity, target: target.identity };
      this.options.move(address, command, (outcome) => {
        this.activeMoves.delete(source.identity);
        pool.recordMoveEnd(identity, outcome, this.options.now());
        metrics.count('placement.moves', 1, { outcome });
        if (outcome === 'failed') {
          const rejected = this.rejectedTargets.get(identity) ?? new Set<string>();
          this.rejectedTargets.set(identity, rejected.add(target.identity));
        }
        log.info('moveEnded', { request: identity, source: source.identity, outcome });
        this.startMoves();
      });
      return;
    }
  }

  private selectTarget(
    source: enginePool.Engine,
    running: types.RunningGeneration,
  ): enginePool.Engine | undefined {
    const { pool } = this.options;
    const { facts, produced } = running;
    const moveTargets = pool.engineList.filter((engine) => pool.isMoveTarget(engine.identity));
    const rejected = this.rejectedTargets.get(facts.identity) ?? new Set<string>();
    const excluded = new Set([source.identity, ...rejected, ...moveTargets.map((engine) => engine.identity)]);
    const select = (excludedEngines: ReadonlySet<string>): enginePool.Engine | undefined =>
      pool.selectEngine(
        {
          facts,
          produced,
          purpose: 'move',
          dataCentre: source.dataCentre,
          excluded: excludedEngines,
          software: source.software,
          localityBonus: SAME_DATA_CENTRE_BONUS,
        },
        this.options.now(),
      );
    return select(excluded) ?? select(new Set([source.identity, ...rejected]));
  }
}
