/**
 * The state machine of a stand-in engine: continuous batching, limited memory, priorities, preemption when
 * memory fills during decoding, prefix cache, resume and cancel. It knows time only through `after`.
 */
import type * as kumquatfront from 'kumquatfront';

import type * as types from './types.js';

/** Time as the model needs it. */
export interface ModelTime {
  now(): number;
  after(delay: number, run: () => void): kumquatfront.ports.Cancel;
}

const ENDED_KEPT = 30_000;

/** The engine; see the module comment. */
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
  private readonly time: ModelTime;
  private readonly onStep: ((duration: number) => void) | undefined;
  private readonly generations = new Map<string, types.Generation>();
  private running: types.Generation[] = [];
  private waiting: types.Generation[] = [];
  private usedTokens = 0;
  private arrivals = 0;
  private stepScheduled = false;
  private frozen = false;
  private readonly cache = new Set<string>();
  private cacheAdded: string[] = [];
  private cacheRemoved: string[] = [];

  constructor(options: types.EngineOptions, time: ModelTime, onStep?: (duration: number) => void) {
    this.options = options;
    this.time = time;
    this.onStep = onStep;
  }

  /** Takes an order. */
  start(order: types.EngineOrder, reader: types.EngineReader): void {
    const generation: types.Generation = {
      order,
      produced: order.copiedOutput ?? 0,
      toCompute: this.unreadOf(order),
      state: 'waiting',
      arrival: (this.arrivals += 1),
      reader,
      sent: order.copiedOutput ?? 0,
      paused: false,
      endedAt: 0,
    };
    this.counts.starts += 1;
    this.generations.set(order.generation, generation);
    this.enqueue(generation);
    this.scheduleStep();
  }

  /** Prompt tokens of an order that must be read before its first token. */
  private unreadOf(order: types.EngineOrder): number {
    if (order.copiedOutput !== undefined) {
      return 0;
    }
    return this.cache.has(order.prefix) ? Math.ceil(order.promptTokens / 10) : order.promptTokens;
  }

  /** Sets memory aside for a copy that is on its way; false where there is no room. */
  hold(tokens: number): boolean {
    if (this.usedTokens + tokens > this.options.memoryTokens) {
      return false;
    }
    this.usedTokens += tokens;
    return true;
  }

  /** Gives back what was set aside. */
  release(tokens: number): void {
    this.usedTokens -= tokens;
    this.scheduleStep();
  }

  private enqueue(generation: types.Generation): void {
    const { priority } = generation.order;
    const position = this.waiting.findIndex(
      (other) =>
        other.order.priority > priority ||
        (other.order.priority === priority && other.arrival > generation.arrival),
    );
    this.waiting.splice(position < 0 ? this.waiting.length : position, 0, generation);
  }

  /** Lets a reader go on from an index; false where the generation is not known. */
  attach(name: string, fromIndex: number, reader: types.EngineReader): boolean {
    const generation = this.generations.get(name);
    if (generation === undefined) {
      return false;
    }
    generation.reader = reader;
    generation.sent = fromIndex;
    generation.paused = false;
    this.feed(generation);
    return true;
  }

  knows(name: string): boolean {
    return this.generations.has(name);
  }

  /** Ends reading; the generation goes on. */
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
      this.feed(generation);
    }
  }

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
      this.usedTokens -= this.heldBy(generation);
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

  /** Changes of the prefix cache since the last call. */
  takeCacheChanges(): { readonly added: readonly string[]; readonly removed: readonly string[] } {
    const changes = { added: this.cacheAdded, removed: this.cacheRemoved };
    this.cacheAdded = [];
    this.cacheRemoved = [];
    return changes;
  }

  /** True where nobody reads a generation that still runs. */
  hasUnread(): boolean {
    return [...this.generations.values()].some(
      (generation) => generation.state !== 'ended' && generation.reader === undefined,
    );
  }

  private heldBy(generation: types.Generation): number {
    return generation.order.promptTokens + generation.produced;
  }

  private scheduleStep(): void {
    if (this.stepScheduled || this.frozen || this.running.length + this.waiting.length === 0) {
      return;
    }
    this.stepScheduled = true;
    this.admit();
    const duration = this.stepDuration();
    this.onStep?.(duration);
    this.time.after(duration, () => {
      this.stepScheduled = false;
      if (!this.frozen) {
        this.step();
        this.scheduleStep();
      }
    });
  }

  /** Computes prompts within the step's budget, and returns how long the step takes. */
  private stepDuration(): number {
    const { stepBase, stepPerRunning, prefillPerToken, prefillPerStep } = this.options;
    let budget = prefillPerStep;
    for (const generation of this.running) {
      const computed = Math.min(budget, generation.toCompute);
      generation.toCompute -= computed;
      budget -= computed;
    }
    return stepBase + stepPerRunning * this.running.length + prefillPerToken * (prefillPerStep - budget);
  }

  private admit(): void {
    for (let head = this.waiting[0]; head !== undefined; head = this.waiting[0]) {
      const needed = this.heldBy(head) + 1;
      const fits = (): boolean =>
        this.running.length < this.options.slots && this.usedTokens + needed <= this.options.memoryTokens;
      while (!fits() && this.preemptBelow(head.order.priority)) {
        // Room is made until the more urgent one fits.
      }
      if (!fits()) {
        return;
      }
      this.waiting.shift();
      head.state = 'running';
      this.running.push(head);
      this.usedTokens += this.heldBy(head);
      this.remember(head.order.prefix);
    }
  }

  /** Preempts the newest of the least urgent generations that is less urgent than `priority`. */
  private preemptBelow(priority: number): boolean {
    let victim: types.Generation | undefined;
    for (const generation of this.running) {
      const lower = generation.order.priority > priority;
      if (lower && (victim === undefined || isPreemptedBefore(generation, victim))) {
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
    const held = this.heldBy(victim);
    this.counts.preemptions += 1;
    this.counts.wastedTokens += held - victim.toCompute;
    this.running = this.running.filter((other) => other !== victim);
    this.usedTokens -= held;
    victim.state = 'waiting';
    victim.toCompute = held;
    this.enqueue(victim);
  }

  private remember(prefix: string): void {
    if (prefix === '' || this.cache.has(prefix)) {
      return;
    }
    this.cache.add(prefix);
    this.cacheAdded.push(prefix);
    if (this.cache.size > this.options.cachedPrefixes) {
      const [oldest = ''] = this.cache;
      this.cache.delete(oldest);
      this.cacheRemoved.push(oldest);
    }
  }

  private step(): void {
    const growing = this.running.filter((generation) => generation.toCompute === 0).length;
    let excess = this.usedTokens + growing - this.options.memoryTokens;
    while (excess > 0 && this.running.length > 1 && this.preemptBelow(Number.NEGATIVE_INFINITY)) {
      excess = this.usedTokens + growing - this.options.memoryTokens;
    }
    for (const generation of [...this.running]) {
      if (generation.state === 'running' && generation.toCompute === 0) {
        this.produce(generation);
      }
    }
  }

  private produce(generation: types.Generation): void {
    generation.produced += 1;
    this.usedTokens += 1;
    this.counts.producedTokens += 1;
    if (generation.produced >= generation.order.outputTokens) {
      generation.state = 'ended';
      generation.endedAt = this.time.now();
      this.counts.finished += 1;
      this.running = this.running.filter((other) => other !== generation);
      this.usedTokens -= this.heldBy(generation);
      this.time.after(ENDED_KEPT, () => {
        this.generations.delete(generation.order.generation);
      });
    }
    this.feed(generation);
  }

  private feed(generation: types.Generation): void {
    const name = generation.order.generation;
    while (generation.reader !== undefined && !generation.paused && generation.sent < generation.produced) {
      const index = generation.sent;
      generation.sent += 1;
      generation.reader.token(name, index);
    }
    const read = generation.sent >= generation.produced && !generation.paused;
    if (generation.state === 'ended' && read) {
      generation.reader?.ended(name, generation.produced);
    }
  }
}

function isPreemptedBefore(left: types.Generation, right: types.Generation): boolean {
  if (left.order.priority !== right.order.priority) {
    return left.order.priority > right.order.priority;
  }
  return left.arrival > right.arrival;
}

/**
 * The text of a token: it names its generation and index, so that a mixed-up answer shows.
 *
 * @param generation - the generation
 * @param index - the token's index
 * @returns the text
 * @example
 * ```ts
 * engineModel.tokenText('a1.1', 3); // 'a1.1#3 '
 * ```
 */
export function tokenText(generation: string, index: number): string {
  return `${generation}#${index} `;
}
