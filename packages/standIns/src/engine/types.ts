/**
 * A stand-in for a model engine. Lengths are tokens, times milliseconds.
 */

/** How an engine behaves. */
export interface EngineOptions {
  readonly name: string;
  /** Tokens of prompts and outputs it holds at once. */
  readonly memoryTokens: number;
  readonly slots: number;
  /** Duration of a step with nothing running. */
  readonly stepBase: number;
  /** What each running generation adds to a step. */
  readonly stepPerRunning: number;
  /** What each prompt token that must be computed adds to a step. */
  readonly prefillPerToken: number;
  /** Prompt tokens computed in one step at most. */
  readonly prefillPerStep: number;
  /** Prefixes it keeps cached at most. */
  readonly cachedPrefixes: number;
}

/** What is to be generated. */
export interface EngineOrder {
  readonly generation: string;
  /** 0 goes before 1. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefix: string;
  /** Tokens that were made elsewhere, whose memory was copied here; the prompt is not read again then. */
  readonly copiedOutput?: number;
}

/** Whoever reads a generation. */
export interface EngineReader {
  token(generation: string, index: number): void;
  ended(generation: string, count: number): void;
}

/** One generation in the engine. */
export interface Generation {
  readonly order: EngineOrder;
  produced: number;
  /** Prompt and output tokens that must still be computed before the next token. */
  toCompute: number;
  state: 'waiting' | 'running' | 'ended';
  /** Grows with each arrival; the newest of the lowest priority is preempted first. */
  readonly arrival: number;
  reader: EngineReader | undefined;
  /** Next index the reader gets. */
  sent: number;
  paused: boolean;
  endedAt: number;
}

/** What an engine counts. */
export interface EngineCounts {
  preemptions: number;
  /** Tokens that were held by preempted generations and must be computed again. */
  wastedTokens: number;
  producedTokens: number;
  finished: number;
  cancelled: number;
  starts: number;
}

/** Load as an engine reports it. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly usedTokens: number;
}
