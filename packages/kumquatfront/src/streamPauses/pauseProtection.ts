/**
 * Protects running streams from prompts on engines where they would pause for too long: learns the pauses of engines
 * from the entries' reports, and gives the cost of each placement for the streams on an engine.
 */
import type * as ports from '../kernel/ports.js';
import type * as types from '../placement/types.js';
import * as interference from './interference.js';
import * as pauseForecast from './pauseForecast.js';

/** Time after a placement during which its prompt may have paused the streams on its engine. */
const PROMPT_BESIDE_TIME: ports.Milliseconds = 1_500;

/** A generation on an engine. */
export interface PlacedStream {
  readonly running: types.RunningGeneration;
  readonly placedAt: ports.Milliseconds;
}

/** The view that the protection has of the generations on engines. */
export interface PauseProtectionOptions {
  readonly placedOn: (engine: string) => readonly PlacedStream[];
  readonly placedOf: (identity: string) => PlacedStream | undefined;
  readonly streamsOn: (engine: string) => readonly interference.RunningStream[];
}

/** A placement to evaluate. */
export interface EvaluatedPlacement {
  readonly engine: string;
  readonly facts: types.GenerationAttributes;
  /** Forecast of its output in tokens. */
  readonly remaining: number;
  /** False for a move, which brings its memory along. */
  readonly hasPrompt: boolean;
}

/** Pause protection of one coordinator; see the module comment. */
export class PauseProtection {
  readonly forecast = new pauseForecast.PauseForecast();

  constructor(private readonly options: PauseProtectionOptions) {}

  /** Learns from streams with a longer pause than in the last report; called before the report is applied. */
  observeReport(report: types.EntryReport, now: ports.Milliseconds): void {
    for (const { facts, instance, longestPause } of report.generations) {
      const previous = this.options.placedOf(facts.identity)?.running;
      const isLonger = (longestPause ?? 0) > (previous?.longestPause ?? 0);
      if (longestPause !== undefined && previous?.instance === instance && isLonger) {
        this.observePause(facts, instance, longestPause, now);
      }
    }
  }

  private observePause(
    { identity, service }: types.GenerationAttributes,
    engine: string,
    pause: ports.Milliseconds,
    now: ports.Milliseconds,
  ): void {
    const hadPrompt = this.options
      .placedOn(engine)
      .filter(({ running }) => running.facts.identity !== identity)
      .some(({ running, placedAt }) => !running.started || now - placedAt < PROMPT_BESIDE_TIME);
    if (hadPrompt) {
      this.forecast.observePause(engine, service, pause, now);
    }
  }

  /** Cost of a placement for the streams on its engine and for itself; 0 where the pauses of the engine are unknown. */
  costOf({ engine, facts, remaining, hasPrompt }: EvaluatedPlacement, now: ports.Milliseconds): number {
    const expectedPause = this.forecast.expectedPause(engine, now);
    if (expectedPause === undefined) {
      return 0;
    }
    const generation = { pauseLimit: facts.pauseLimit, remaining, hasPrompt };
    return interference.costOf(expectedPause, generation, this.options.streamsOn(engine));
  }
}
