/**
 * Generations that wait for a place on an engine.
 *
 * Pattern: under overload a first-come queue makes everybody late. Those that can still be in time go before
 * those that are late already, which lose nothing more by waiting; urgent ones go before patient ones always.
 * Among equals the shorter forecast goes first: a short generation earns several times as much for each token
 * of memory and second. Waiting makes up for length, so that a long one goes first after a second or two; and
 * one that finds no room must not be overtaken for ever, nor hold everything up.
 */
import type * as ports from '../kernel/ports.js';
import type * as timeliness from './timeliness.js';
import type * as types from './types.js';

/** One that waits. */
export interface Waiting {
  readonly request: types.PlacementRequest;
  readonly since: ports.Milliseconds;
  readonly answer: (answer: types.PlacementAnswer) => void;
}

/** Tokens of forecast output that one millisecond of waiting makes up for: the longest ones in two seconds. */
const TOKENS_PER_WAITED_MILLISECOND = 0.8;

/** Time for which smaller generations may overtake a larger one that finds no room: near one objective. */
const OVERTAKEN_FOR: ports.Milliseconds = 1_500;

/** Generations that may wait at once; with a hundred bytes each, far below what control may use. */
const MOST_WAITING = 2_000;

/** What the queue asks of those who forecast. */
export interface QueueForecasts {
  /** Forecast of a generation's output, in tokens. */
  readonly expectedOutput: (facts: types.GenerationFacts) => number;
  readonly timelinessOf: (
    waiting: Pick<Waiting, 'request' | 'since'>,
    now: ports.Milliseconds,
  ) => timeliness.Timeliness;
}

/** The queue; see the module comment. */
export class PlacementQueue {
  private readonly waiting = new Map<string, Waiting>();
  private readonly forecasts: QueueForecasts;

  constructor(forecasts: QueueForecasts) {
    this.forecasts = forecasts;
  }

  get size(): number {
    return this.waiting.size;
  }

  /** Adds one; asking again for the same generation replaces the former question. False where it is full. */
  add(request: types.PlacementRequest, now: number, answer: Waiting['answer']): boolean {
    const former = this.waiting.get(request.facts.identity);
    if (former === undefined && this.waiting.size >= MOST_WAITING) {
      return false;
    }
    this.waiting.set(request.facts.identity, { request, since: former?.since ?? now, answer });
    return true;
  }

  remove(identity: string): void {
    this.waiting.delete(identity);
  }

  waitingOf(service: string): number {
    return [...this.waiting.values()].filter((entry) => entry.request.facts.service === service).length;
  }

  /** Takes out all whose patience is over, and those that became late while they waited. */
  takeExpired(now: number): readonly Waiting[] {
    const expired = [...this.waiting.values()].filter(
      (entry) => now - entry.since >= entry.request.patience || this.becameLate(entry, now),
    );
    for (const entry of expired) {
      this.waiting.delete(entry.request.facts.identity);
    }
    return expired;
  }

  /** Whoever was late when it came waits for slack; who could have been in time is better told at once. */
  private becameLate(entry: Waiting, now: number): boolean {
    const { timelinessOf } = this.forecasts;
    return timelinessOf(entry, now) === 'late' && timelinessOf(entry, entry.since) === 'inTime';
  }

  private inOrder(now: number): readonly Waiting[] {
    const keyed = [...this.waiting.values()].map((entry) => {
      const waited = now - entry.since;
      const { facts } = entry.request;
      const late = this.forecasts.timelinessOf(entry, now) === 'late' ? 1 : 0;
      const length = this.forecasts.expectedOutput(facts) - waited * TOKENS_PER_WAITED_MILLISECOND;
      return { entry, late, length, rank: facts.rank };
    });
    keyed.sort(
      (left, right) => left.rank - right.rank || left.late - right.late || left.length - right.length,
    );
    return keyed.map((key) => key.entry);
  }

  /** Offers places in order; `place` returns true where one was found. */
  serve(now: number, place: (waiting: Waiting) => boolean): void {
    const heldUp = new Map<string, number>();
    for (const entry of this.inOrder(now)) {
      const { service, rank, identity } = entry.request.facts;
      const holder = heldUp.get(service);
      if (holder !== undefined && holder <= rank) {
        continue;
      }
      if (place(entry)) {
        this.waiting.delete(identity);
      } else if (now - entry.since > OVERTAKEN_FOR) {
        heldUp.set(service, rank);
      }
    }
  }
}
