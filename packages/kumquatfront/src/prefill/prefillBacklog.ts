/**
 * Forecast of prefill for each engine, for bursts of generations whose prompts wait on the engines. An engine
 * processes one prompt at a time in the order of arrival; the forecast advances with time, and reported first events
 * correct it. It is soft state: after a failover it is rebuilt from the entries' reports.
 */
import type * as ports from '../kernel/ports.js';

/** Prefill time of one prompt token on an engine of a service, in milliseconds. */
export type PrefillPace = (engine: string, service: string) => number;

/** A prompt sent to an engine. */
export interface Prompt {
  readonly identity: string;
  readonly engine: string;
  readonly service: string;
  readonly tokens: number;
}

/** Time that the engine took for one prompt, without the time in its queue. */
export interface PrefillObservation {
  readonly engine: string;
  readonly service: string;
  readonly tokens: number;
  readonly elapsed: ports.Milliseconds;
}

/** Time from the end of prefill to the report: one decoding step, two messages and the entry's report delay. */
export const REPORT_DELAY: ports.Milliseconds = 40;

/** Overdue time for which the next prompt is assumed to have begun: a late report is likelier than a slow engine. */
const OVERDUE_TOLERANCE: ports.Milliseconds = 60;

/** Share of the overdue time that the prompt at the head is expected to take in addition, so that stalls are avoided. */
const OVERDUE_SHARE = 0.5;

/** Overdue time after which a prompt without a first event is dropped, since its entry or engine may have failed. */
const OVERDUE_LIMIT: ports.Milliseconds = 3_000;

interface WaitingPrompt extends Prompt {
  readonly addedAt: ports.Milliseconds;
}

interface EngineQueue {
  readonly prompts: WaitingPrompt[];
  /** Time at which the prompt at the head began. */
  beganAt: ports.Milliseconds;
  /** False if `beganAt` is a guess, from which no pace can be learned. */
  isBeginKnown: boolean;
}

/** Prompts that each engine has not processed yet. */
export class PrefillBacklog {
  private readonly paceOf: PrefillPace;
  private readonly queues = new Map<string, EngineQueue>();
  private readonly engineOfPrompt = new Map<string, string>();

  constructor(paceOf: PrefillPace) {
    this.paceOf = paceOf;
  }

  /**
   * Appends a prompt to the queue of its engine; a prompt queued on another engine is moved.
   *
   * @param isBeginKnown - false for a prompt learned from a report, which may have begun earlier
   * @example
   * ```ts
   * backlog.add({ identity: 'r1', engine: 'e1', service: 'llm', tokens: 2200 }, now, true);
   * ```
   */
  add(prompt: Prompt, now: ports.Milliseconds, isBeginKnown: boolean): void {
    const { identity, engine } = prompt;
    if (this.engineOfPrompt.get(identity) === engine) {
      return;
    }
    this.remove(identity, now);
    const queue = this.queues.get(engine) ?? { prompts: [], beganAt: now, isBeginKnown };
    if (queue.prompts.length === 0) {
      // An idle engine may still send the events of its last prompt, hence no begin before `now`.
      queue.beganAt = now;
      queue.isBeginKnown = isBeginKnown;
    }
    queue.prompts.push({ ...prompt, addedAt: now });
    this.queues.set(engine, queue);
    this.engineOfPrompt.set(identity, engine);
  }

  /**
   * Applies a reported first event. Reports out of order keep earlier prompts queued, since engines and entries may
   * swap neighbours.
   *
   * @param reportedEngine - engine that sent the first event; undefined if the report does not state it
   * @returns the time that the engine took for the prompt; undefined where its begin is not known
   * @example
   * ```ts
   * const observation = backlog.complete('r1', now);
   * ```
   */
  complete(
    identity: string,
    now: ports.Milliseconds,
    reportedEngine?: string,
  ): PrefillObservation | undefined {
    const queue = this.queueOf(identity);
    if (queue === undefined) {
      return undefined;
    }
    // The former engine of a stream that was placed again may still send an event; the new one has not begun then.
    if (reportedEngine !== undefined && this.engineOfPrompt.get(identity) !== reportedEngine) {
      this.remove(identity, now);
      return undefined;
    }
    const index = queue.prompts.findIndex((prompt) => prompt.identity === identity);
    const { engine = '', service = '', tokens = 0, addedAt = now } = queue.prompts[index] ?? {};
    const { beganAt } = queue;
    const elapsed = now - REPORT_DELAY - Math.max(beganAt, addedAt);
    const isMeasured = index === 0 && queue.isBeginKnown;
    this.delete(queue, identity, Math.max(now - REPORT_DELAY, beganAt), index === 0);
    return isMeasured ? { engine, service, tokens, elapsed } : undefined;
  }

  /** Removes a prompt whose generation ended or moved before its first event. */
  remove(identity: string, now: ports.Milliseconds): void {
    const queue = this.queueOf(identity);
    if (queue !== undefined) {
      const isHead = queue.prompts[0]?.identity === identity;
      if (isHead) {
        this.delete(queue, identity, now, false);
      } else {
        this.delete(queue, identity, queue.beganAt, queue.isBeginKnown);
      }
    }
  }

  private queueOf(identity: string): EngineQueue | undefined {
    const engine = this.engineOfPrompt.get(identity);
    return engine === undefined ? undefined : this.queues.get(engine);
  }

  private delete(
    queue: EngineQueue,
    identity: string,
    nextBeganAt: ports.Milliseconds,
    isBeginKnown: boolean,
  ): void {
    const index = queue.prompts.findIndex((prompt) => prompt.identity === identity);
    queue.prompts.splice(index, 1);
    this.engineOfPrompt.delete(identity);
    const next = queue.prompts[0];
    queue.beganAt = Math.max(nextBeganAt, next?.addedAt ?? nextBeganAt);
    queue.isBeginKnown = isBeginKnown;
  }

  /** Drops prompts that never reported a first event, and the queues of engines that were removed. */
  removeExpired(isKnownEngine: (engine: string) => boolean, now: ports.Milliseconds): readonly Prompt[] {
    const expired: Prompt[] = [];
    for (const [engine, queue] of this.queues) {
      if (!isKnownEngine(engine)) {
        for (const { identity } of queue.prompts) {
          this.engineOfPrompt.delete(identity);
        }
        this.queues.delete(engine);
        continue;
      }
      const [head] = queue.prompts;
      if (head !== undefined && now - queue.beganAt - this.workOf(head) > OVERDUE_LIMIT) {
        expired.push(head);
        this.delete(queue, head.identity, now, false);
      }
    }
    return expired;
  }

  private workOf(prompt: Prompt): ports.Milliseconds {
    return prompt.tokens * this.paceOf(prompt.engine, prompt.service);
  }

  /**
   * Forecasts the time until an engine begins a prompt that is sent to it now.
   *
   * @returns milliseconds; 0 for an idle engine
   * @example
   * ```ts
   * const timeToFirstEvent = backlog.waitOf('e1', now) + ownPrefillTime;
   * ```
   */
  waitOf(engine: string, now: ports.Milliseconds): ports.Milliseconds {
    const queue = this.queues.get(engine);
    const head = queue?.prompts[0];
    if (queue === undefined || head === undefined) {
      return 0;
    }
    const total = queue.prompts.reduce((sum, prompt) => sum + this.workOf(prompt), 0);
    const elapsed = now - queue.beganAt;
    const overdue = Math.max(0, elapsed - this.workOf(head) - OVERDUE_TOLERANCE);
    return Math.max(0, total - (elapsed - overdue)) + OVERDUE_SHARE * overdue;
  }
}
