/**
 * Lets single requests through although a part of their prompts may crash upstreams. Entries do not ask each other: each
 * draws, for each interval, whether the one trial of all entries is its own.
 */
import type * as ports from '../kernel/ports.js';

/** Dependencies of the trials. */
export interface TrialsOptions {
  readonly now: () => ports.Milliseconds;
  readonly random: ports.Random;
  /** Number of running entries. */
  readonly entryCount: () => number;
}

/** Draws that are remembered. */
const MAXIMUM_DRAWS = 256;

/** Trials of one entry; see the module comment. */
export class Trials {
  private readonly options: TrialsOptions;
  private readonly draws = new Map<string, { readonly interval: number; mayStart: boolean }>();
  /** Requests that were let through, until they are sent. */
  private readonly granted = new WeakSet();

  constructor(options: TrialsOptions) {
    this.options = options;
  }

  /**
   * Asks for a trial.
   *
   * @param request - the request that would be sent, once
   * @param key - what is tried
   * @param intervalLength - time in which all entries together make about one trial
   * @returns true if the request may be sent
   */
  start(request: object, key: string, intervalLength: ports.Milliseconds): boolean {
    const interval = Math.floor(this.options.now() / intervalLength);
    const draw = this.drawFor(key, interval);
    if (!draw.mayStart) {
      return false;
    }
    draw.mayStart = false;
    this.granted.add(request);
    return true;
  }

  private drawFor(key: string, interval: number): { mayStart: boolean } {
    const known = this.draws.get(key);
    if (known?.interval === interval) {
      return known;
    }
    const { random, entryCount } = this.options;
    const draw = { interval, mayStart: random.next() * Math.max(1, entryCount()) < 1 };
    this.draws.delete(key);
    this.draws.set(key, draw);
    const [oldest] = this.draws.keys();
    if (this.draws.size > MAXIMUM_DRAWS && oldest !== undefined) {
      this.draws.delete(oldest);
    }
    return draw;
  }

  /** Uses up the trial of a request. */
  end(request: object): void {
    this.granted.delete(request);
  }

  /** True if the request may still be sent for a trial. */
  has(request: object): boolean {
    return this.granted.has(request);
  }
}
