/**
 * Simulates an inference engine: continuous batching, limited KV cache memory, priorities, preemption when memory
 * runs out during decoding, a prefix cache, resume and cancel. All timing goes through `ModelTimers`.
 */
import type * as kumquatfront from 'kumquatfront';

import type * as types from './types.js';

/** Clock and timers of the model. */
export interface ModelTimers {
  now(): number;
  after(delay: number, run: () => void): kumquatfront.ports.Cancel;
}

const FINISHED_GENERATION_RETENTION = 30_000;

/** Simulated engine. */
export class EngineModel {
  readonly options: types.EngineOptions;
  readonly counts: types.EngineCounts = {
    preemptions: 0,
    wastedTokens: 0,
    producedTokens: 0,
    finished: 0,
    cancelled: 0,
    starts: 0,
  };
  private readonly time: ModelTimers;
  private readonly onStep: ((duration: number) => void) | undefined;
  private readonly generations = new Map<string, types.Generation>();
  private running: types.Generation[] = [];
  private waiting: types.Generation[] = [];
  private usedTokens = 0;
  private arrivalCount = 0;
  private stepScheduled = false;
  private frozen = false;
  private readonly prefixCache = new Set<string>();
  private cacheAdded: string[] = [];
  private cacheRemoved: string[] = [];

  constructor(options: types.EngineOptions, time: ModelTimers, onStep?: (duration: number) => void) {
    this.options = options;
    this.time = time;
    this.onStep = onStep;
  }

  /** Enqueues a request. */
  start(request: types.EngineRequest, reader: types.EngineReader): void {
    const generation: types.Generation = {
      request,
      producedTokens: request.copiedOutput ?? 0,
      tokensToCompute: this.prefillTokensOf(request),
      state: 'waiting',
      arrival: (this.arrivalCount += 1),
      reader,
      sentTokens: request.copiedOutput ?? 0,
      paused: false,
      endedAt: 0,
    };
    this.counts.starts += 1;
    this.generations.set(request.generation, generation);
    this.enqueue(generation);
    this.scheduleStep();
  }

  /** Prompt tokens to compute before the first output token. */
  private prefillTokensOf(request: types.EngineRequest): number {
    if (request.copiedOutput !== undefined) {
      return 0;
    }
    return this.prefixCache.has(request.prefix) ? Math.ceil(request.promptTokens / 10) : request.promptTokens;
  }

  /** Reserves memory for an incoming copy; returns false when there is not enough free memory. */
  reserveMemory(tokens: number): boolean {
    if (this.usedTokens + tokens > this.options.memoryTokens) {
      return false;
    }
    this.usedTokens += tokens;
    return true;
  }

  /** Releases reserved memory. */
  releaseMemory(tokens: number): void {
    this.usedTokens -= tokens;
    this.scheduleStep();
  }

  private enqueue(generation: types.Generation): void {
    const { priority } = generation.request;
    const position = this.waiting.findIndex(
      (other) =>
        other.request.priority > priority ||
        (other.request.priority === priority && other.arrival > generation.arrival),
    );
    this.waiting.splice(position < 0 ? this.waiting.length : position, 0, generation);
  }

  /** Attaches a reader from a token index; returns false for an unknown generation. */
  attach(name: string, fromIndex: number, reader: types.EngineReader): boolean {
    const generation = this.generations.get(name);
    if (generation === undefined) {
      return false;
    }
    generation.reader = reader;
    generation.sentTokens = fromIndex;
    generation.paused = false;
    this.deliverTokens(generation);
    return true;
  }

  hasGeneration(name: string): boolean {
    return this.generations.has(name);
  }

  /** Detaches a reader; the generation continues. */
  detach(name: string, reader: types.EngineReader): void {
    const generation = this.generations.get(name);
    if (generation?.reader === reader) {
      generation.reader = undefined;
    }
  }

  setPaused(name: string, reader: types.EngineReader, paused: boolean): void {
    const generation = this.generations.get(name);
    if (generation?.reader === reader) {
      generation.paused = paused;
      this.deliverTokens(generation);
    }
  }

  /** Cancels a generation; with `ifUnread`, only when no reader is attached. */
  cancel(name: string, ifUnread: boolean): void {
    const generation = this.generations.get(name);
    if (generation === undefined || (ifUnread && generation.reader !== undefined)) {
      return;
    }
    this.generations.delete(name);
    if (generation.state === 'ended') {
      return;
    }
    this.counts.cancelled += 1;
    this.waiting = this.waiting.filter((other) => other !== generation);
    if (generation.state === 'running') {
      this.running = this.running.filter((other) => other !== generation);
      this.usedTokens -= this.memoryTokensOf(generation);
    }
    generation.state = 'ended';
  }

  /** Stops all work until `thaw`. */
  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    this.frozen = false;
    this.stepScheduled = false;
    this.scheduleStep();
  }

  get isFrozen(): boolean {
    return this.frozen;
  }

  load(): types.EngineLoad {
    return { running: this.running.length, waiting: this.waiting.length, usedTokens: this.usedTokens };
  }

  /** Returns and clears the changes of the prefix cache since the last call. */
  drainCacheChanges(): { readonly added: readonly string[]; readonly removed: readonly string[] } {
    const changes = { added: this.cacheAdded, removed: this.cacheRemoved };
    this.cacheAdded = [];
    this.cacheRemoved = [];
    return changes;
  }

  /** Whether an unfinished generation has no reader. */
  hasUnreadGeneration(): boolean {
    return [...this.generations.values()].some(
      (generation) => generation.state !== 'ended' && generation.reader === undefined,
    );
  }

  private memoryTokensOf(generation: types.Generation): number {
    return generation.request.promptTokens + generation.producedTokens;
  }

  private scheduleStep(): void {
    if (this.stepScheduled || this.frozen || this.running.length + this.waiting.length === 0) {
      return;
    }
    this.stepScheduled = true;
    this.admit();
    const duration = this.computePrefill();
    this.onStep?.(duration);
    this.time.after(duration, () => {
      this.stepScheduled = false;
      if (!this.frozen) {
        this.runStep();
        this.scheduleStep();
      }
    });
  }

  /** Runs the prefill within the token budget of the step and returns the duration of the step. */
  private computePrefill(): number {
    const { stepBase, stepPerRunning, prefillPerToken, prefillPerStep } = this.options;
    let budget = prefillPerStep;
    for (const generation of this.running) {
      const computedTokens = Math.min(budget, generation.tokensToCompute);
      generation.tokensToCompute -= computedTokens;
      budget -= computedTokens;
    }
    return stepBase + stepPerRunning * this.running.length + prefillPerToken * (prefillPerStep - budget);
  }

  private admit(): void {
    for (let candidate = this.waiting[0]; candidate !== undefined; candidate = this.waiting[0]) {
      const neededTokens = this.memoryTokensOf(candidate) + 1;
      const hasCapacity = (): boolean =>
        this.running.length < this.options.slots &&
        this.usedTokens + neededTokens <= this.options.memoryTokens;
      while (!hasCapacity() && this.preemptBelow(candidate.request.priority)) {
        // Preempt until the generation with the higher priority fits.
      }
      if (!hasCapacity()) {
        return;
      }
      this.waiting.shift();
      candidate.state = 'running';
      this.running.push(candidate);
      this.usedTokens += this.memoryTokensOf(candidate);
      this.cachePrefix(candidate.request.prefix);
    }
  }

  /** Preempts the latest arrival of the lowest priority, if that priority is lower than `priority`. */
  private preemptBelow(priority: number): boolean {
    let victim: types.Generation | undefined;
    for (const generation of this.running) {
      const isLowerPriority = generation.request.priority > priority;
      if (isLowerPriority && (victim === undefined || isPreemptedBefore(generation, victim))) {
        victim = generation;
      }
    }
    if (victim === undefined) {
      return false;
    }
    this.preempt(victim);
    return true;
  }

  private preempt(victim: types.Generation): void {
    const heldTokens = this.memoryTokensOf(victim);
    this.counts.preemptions += 1;
    this.counts.wastedTokens += heldTokens - victim.tokensToCompute;
    this.running = this.running.filter((other) => other !== victim);
    this.usedTokens -= heldTokens;
    victim.state = 'waiting';
    victim.tokensToCompute = heldTokens;
    this.enqueue(victim);
  }

  private cachePrefix(prefix: string): void {
    if (prefix === '' || this.prefixCache.has(prefix)) {
      return;
    }
    this.prefixCache.add(prefix);
    this.cacheAdded.push(prefix);
    if (this.prefixCache.size > this.options.cachedPrefixes) {
      const [oldest = ''] = this.prefixCache;
      this.prefixCache.delete(oldest);
      this.cacheRemoved.push(oldest);
    }
  }

  private runStep(): void {
    const growingCount = this.running.filter((generation) => generation.tokensToCompute === 0).length;
    let excessTokens = this.usedTokens + growingCount - this.options.memoryTokens;
    while (excessTokens > 0 && this.running.length > 1 && this.preemptBelow(Number.NEGATIVE_INFINITY)) {
      excessTokens = this.usedTokens + growingCount - this.options.memoryTokens;
    }
    for (const generation of [...this.running]) {
      if (generation.state === 'running' && generation.tokensToCompute === 0) {
        this.produceToken(generation);
      }
    }
  }

  private produceToken(generation: types.Generation): void {
    generation.producedTokens += 1;
    this.usedTokens += 1;
    this.counts.producedTokens += 1;
    if (generation.producedTokens >= generation.request.outputTokens) {
      generation.state = 'ended';
      generation.endedAt = this.time.now();
      this.counts.finished += 1;
      this.running = this.running.filter((other) => other !== generation);
      this.usedTokens -= this.memoryTokensOf(generation);
      this.time.after(FINISHED_GENERATION_RETENTION, () => {
        this.generations.delete(generation.request.generation);
      });
    }
    this.deliverTokens(generation);
  }

  private deliverTokens(generation: types.Generation): void {
    const name = generation.request.generation;
    while (
      generation.reader !== undefined &&
      !generation.paused &&
      generation.sentTokens < generation.producedTokens
    ) {
      const index = generation.sentTokens;
      generation.sentTokens += 1;
      generation.reader.token(name, index);
    }
    const isDelivered = generation.sentTokens >= generation.producedTokens && !generation.paused;
    if (generation.state === 'ended' && isDelivered) {
      generation.reader?.ended(name, generation.producedTokens);
    }
  }
}

function isPreemptedBefore(left: types.Generation, right: types.Generation): boolean {
  if (left.request.priority !== right.request.priority) {
    return left.request.priority > right.request.priority;
  }
  return left.arrival > right.arrival;
}

/**
 * Formats the text of a token. It contains the generation and index, so that misrouted or reordered tokens are detected.
 *
 * @param generation - name of the generation
 * @param index - index of the token
 * @example
 * ```ts
 * engineModel.tokenText('a1.1', 3); // 'a1.1#3 '
 * ```
 */
export function tokenText(generation: string, index: number): string {
  return `${generation}#${index} `;
}
