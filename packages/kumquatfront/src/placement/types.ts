/**
 * Messages between entries and the coordinator that places and moves generations for the whole system.
 * Times are milliseconds, sizes are tokens.
 */
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';

/** What is known of a generation before and while it runs. */
export interface GenerationFacts {
  readonly identity: string;
  readonly service: string;
  readonly promptTokens: number;
  /** Output never exceeds this. */
  readonly outputLimit: number;
  /** The caller's guess of the output; right at the median, often far off. 0 where there is none. */
  readonly lengthHint: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Client account; empty where there is none. */
  readonly account: string;
  /** Data centres in which it may run; absent where any will do. */
  readonly dataCentres?: readonly string[];
}

/** Asks for a place on an engine. */
export interface PlacementRequest {
  readonly facts: GenerationFacts;
  readonly entry: string;
  readonly dataCentre: string;
  /** Identities of engines that the asker does not want. */
  readonly excluded: readonly string[];
  /** What this question and the next one of the same caller, after a refusal, have in common. */
  readonly likeness: string;
  /** Time to the first event that the route promises, counted from the caller's first question. */
  readonly objective: ports.Milliseconds;
  /** What is left of it, counted from now. */
  readonly objectiveLeft: ports.Milliseconds;
  /** Time after which a place is of no use any more. */
  readonly patience: ports.Milliseconds;
}

/** A place on an engine. */
export interface Placement {
  readonly instance: string;
}

/** Answers a request for a place. */
export type PlacementAnswer =
  | ({ readonly state: 'placed' } & Placement)
  /** Nothing was started; `retryAfter` is when a place is likely. */
  | { readonly state: 'refused'; readonly retryAfter: ports.Milliseconds; readonly reason: string };

/** A generation that runs, as its entry sees it. */
export interface RunningGeneration {
  readonly facts: GenerationFacts;
  readonly instance: string;
  /** Output tokens made so far. */
  readonly produced: number;
  /** True once the first event came, so that there is memory to move. */
  readonly started: boolean;
}

/** Everything that one entry has running; the newest report replaces the one before. */
export interface EntryReport {
  readonly entry: string;
  /** Where the entry is told to move generations: `ip:port`. */
  readonly address: string;
  /** New at each start of the entry. */
  readonly epoch: string;
  readonly sequence: number;
  readonly generations: readonly RunningGeneration[];
  /** Generations that ended by themselves since the last report, with their whole output. */
  readonly finished: readonly FinishedGeneration[];
  /** Engines among those above that have given notice to this entry's knowledge. */
  readonly leaving: readonly string[];
  /** Instances that other replicas list and the one that gets this report does not. */
  readonly unlisted: readonly instanceTypes.Announcement[];
}

/** A generation that ended by itself. */
export interface FinishedGeneration {
  readonly facts: GenerationFacts;
  readonly produced: number;
}

/** Tells an entry to move one generation to another engine. */
export interface MoveCommand {
  readonly identity: string;
  readonly source: string;
  readonly target: string;
}

/** How a move ended: `moved` counts once the source has stopped the run. */
export type MoveOutcome = 'moved' | 'ended' | 'failed';
