/**
 * Finds an upstream for one stream: by the coordinator where its service has engines, else, or where no
 * coordinator answers, by this entry's own choice.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as placementTypes from '../placement/types.js';
import * as waitingRules from '../placement/waitingRules.js';
import * as exchangeContext from './exchangeContext.js';
import * as generationFacts from './generationFacts.js';
import type * as placementClient from './placementClient.js';
import type * as types from './types.js';

/** What is told of the search. */
export interface PlaceListener {
  readonly found: (instance: instanceView.Instance) => void;
  readonly none: (reason: types.RefusalReason, message: string, retryAfter: ports.Milliseconds) => void;
}

/** The finder; see the module comment. */
export class PlaceFinder {
  /** Upstreams that were tried, or must not be. */
  private readonly excluded = new Set<string>();
  private readonly context: exchangeContext.ExchangeContext;
  private readonly routed: exchangeContext.RoutedRequest;
  private readonly facts: placementTypes.GenerationFacts | undefined;
  private readonly listener: PlaceListener;
  private cancelQuestion: ports.Cancel = () => undefined;
  private cancelled = false;

  constructor(
    context: exchangeContext.ExchangeContext,
    routed: exchangeContext.RoutedRequest,
    facts: placementTypes.GenerationFacts | undefined,
    listener: PlaceListener,
  ) {
    this.context = context;
    this.routed = routed;
    this.facts = facts;
    this.listener = listener;
  }

  /** Leaves an upstream out of later searches. */
  exclude(identity: string): void {
    this.excluded.add(identity);
  }

  /** Searches once; the listener is told. */
  find(): void {
    const { placement, timers, choice, rules } = this.context;
    const { answerBy, request, route } = this.routed;
    const candidates = exchangeContext.candidatesOf(this.context, this.routed);
    if (this.facts === undefined || candidates.length === 0) {
      this.chooseAlone();
      return;
    }
    const now = timers.now();
    const held = candidates.filter((instance) => rules.holdOf(instance, now) !== undefined);
    if (held.length === candidates.length) {
      this.tellNone();
      return;
    }
    const { objective } = route;
    const wholeTime = answerBy - request.arrivedAt;
    const waitUntil = request.arrivedAt + waitingRules.longestWait(objective, wholeTime, this.facts.rank);
    const ejected = choice.ejectedOf(candidates, now);
    const question: placementClient.PlaceQuestion = {
      facts: this.facts,
      excluded: [...this.excluded, ...ejected, ...held.map((instance) => instance.identity)],
      likeness: generationFacts.likenessOf(this.routed),
      objective,
      objectiveLeft: request.arrivedAt + objective - now,
      patience: Math.max(0, waitUntil - now),
    };
    this.cancelQuestion = placement.place(question, (outcome) => {
      this.onOutcome(outcome);
    });
  }

  private onOutcome(outcome: placementClient.PlaceOutcome): void {
    if (this.cancelled) {
      return;
    }
    if (outcome.state === 'alone') {
      this.chooseAlone();
    } else if (outcome.state === 'refused') {
      this.listener.none('overloaded', outcome.reason, outcome.retryAfter);
    } else {
      const instance = this.context.instances.get(outcome.instance);
      if (instance === undefined || this.excluded.has(instance.identity)) {
        this.chooseAlone();
      } else {
        this.listener.found(instance);
      }
    }
  }

  private chooseAlone(): void {
    const { choice, timers } = this.context;
    const candidates = exchangeContext.candidatesOf(this.context, this.routed);
    const instance = choice.choose(candidates, this.excluded, timers.now());
    if (instance === undefined) {
      this.tellNone();
    } else {
      this.listener.found(instance);
    }
  }

  private tellNone(): void {
    const { reason, message, retryAfter } = exchangeContext.noneLeft(
      this.context,
      this.routed,
      'no upstream is left to ask',
    );
    this.listener.none(reason, message, retryAfter);
  }

  /** Withdraws an open question. */
  cancel(): void {
    this.cancelled = true;
    this.cancelQuestion();
  }
}
