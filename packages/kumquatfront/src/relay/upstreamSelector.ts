/**
 * Selects an upstream for one stream: through the placement coordinator if the service has engines; with the
 * local load balancer if it has none or no coordinator responds.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as placementTypes from '../placement/types.js';
import * as software from '../streamOrigins/software.js';
import type * as originTypes from '../streamOrigins/types.js';
import * as ranks from '../placement/ranks.js';
import * as waitLimits from '../placement/waitLimits.js';
import * as exchangeContext from './exchangeContext.js';
import * as generationAttributes from './generationAttributes.js';
import type * as placementClient from './placementClient.js';
import type * as types from './types.js';

/** Callbacks for the result of a selection. */
export interface UpstreamSelectionListener {
  /** `firstEventIn` is the coordinator's forecast of the time to the first event; undefined if there is none. */
  readonly selected: (instance: instanceView.Instance, firstEventIn?: ports.Milliseconds) => void;
  readonly unavailable: (
    reason: types.RefusalReason,
    message: string,
    /** Undefined if a retry cannot succeed. */
    retryAfter: ports.Milliseconds | undefined,
  ) => void;
}

/** Origin of a stream with events: only upstreams of its software are selected. */
export interface OriginSource {
  readonly origin: originTypes.StreamOrigin | undefined;
}

/** Upstream selector of one stream; see the module comment. */
export class UpstreamSelector {
  /** Upstreams that must not be selected again. */
  private readonly excludedUpstreams = new Set<string>();
  private readonly context: exchangeContext.ExchangeContext;
  private readonly routed: exchangeContext.RoutedRequest;
  private readonly attributes: placementTypes.GenerationAttributes | undefined;
  private readonly continuation: OriginSource;
  private readonly listener: UpstreamSelectionListener;
  private cancelPlacement: ports.Cancel = () => undefined;
  private cancelled = false;

  constructor(
    context: exchangeContext.ExchangeContext,
    routed: exchangeContext.RoutedRequest,
    attributes: placementTypes.GenerationAttributes | undefined,
    continuation: OriginSource,
    listener: UpstreamSelectionListener,
  ) {
    this.context = context;
    this.routed = routed;
    this.attributes = attributes;
    this.continuation = continuation;
    this.listener = listener;
  }

  /** Excludes an upstream from later selections. */
  exclude(identity: string): void {
    this.excludedUpstreams.add(identity);
  }

  /** Starts one selection and reports its result to the listener. */
  select(): void {
    const { placement, timers, balancer, sendPolicy: policy } = this.context;
    const { deadline, request, route } = this.routed;
    const candidates = exchangeContext.candidatesOf(this.context, this.routed, this.continuation.origin);
    if (this.attributes === undefined || candidates.length === 0) {
      this.selectLocally();
      return;
    }
    const now = timers.now();
    const temporarilyExcluded = candidates.filter(
      (instance) => policy.exclusionOf(instance, now) !== undefined,
    );
    if (temporarilyExcluded.length === candidates.length) {
      this.reportNoUpstream();
      return;
    }
    const { objective } = route;
    // A stream that goes on is as urgent as one that has just arrived, however long ago it began.
    const since = this.continuation.origin === undefined ? request.arrivedAt : now;
    const totalTime = deadline - since;
    const waitUntil = since + waitLimits.maximumWait(objective, totalTime, this.attributes.rank);
    const ejected = balancer.ejectedOf(candidates, now);
    const placementRequest: placementClient.PlacementParameters = {
      facts: this.attributes,
      excluded: [
        ...this.excludedUpstreams,
        ...ejected,
        ...temporarilyExcluded.map((instance) => instance.identity),
      ],
      ...(this.continuation.origin !== undefined && { software: this.continuation.origin.software }),
      likeness: generationAttributes.retryFingerprintOf(this.routed),
      objective,
      objectiveLeft: since + objective - now,
      patience: Math.max(0, waitUntil - now),
      ...(this.isScheduled &&
        ranks.isPatient(this.attributes.rank) && {
          longestWait: waitLimits.longestWait(objective, totalTime) - (now - since),
        }),
    };
    this.cancelPlacement = placement.place(placementRequest, (outcome) => {
      this.onPlacementOutcome(outcome);
    });
  }

  private get isScheduled(): boolean {
    return this.context.isEnabled?.('prefillScheduling') ?? true;
  }

  private onPlacementOutcome(outcome: placementClient.PlacementOutcome): void {
    if (this.cancelled) {
      return;
    }
    if (outcome.state === 'alone') {
      this.selectLocally();
    } else if (outcome.state === 'refused') {
      this.listener.unavailable('overloaded', outcome.reason, outcome.retryAfter);
    } else {
      const instance = this.context.instances.get(outcome.instance);
      if (instance === undefined || !this.isEligible(instance)) {
        this.selectLocally();
      } else {
        this.listener.selected(instance, this.isScheduled ? outcome.firstEventIn : undefined);
      }
    }
  }

  /** Checks an upstream that the coordinator selected; a stream may have received events since the request. */
  private isEligible(instance: instanceView.Instance): boolean {
    const { origin } = this.continuation;
    const mayContinue = origin === undefined || software.mayContinue(origin, instance);
    return mayContinue && !this.excludedUpstreams.has(instance.identity);
  }

  private selectLocally(): void {
    const { balancer, timers } = this.context;
    const candidates = exchangeContext.candidatesOf(this.context, this.routed, this.continuation.origin);
    const instance = balancer.choose(candidates, this.excludedUpstreams, timers.now());
    if (instance === undefined) {
      this.reportNoUpstream();
    } else {
      this.listener.selected(instance);
    }
  }

  private reportNoUpstream(): void {
    const { reason, message, retryAfter } = exchangeContext.noUpstreamRefusal(
      this.context,
      this.routed,
      'no eligible upstream is left',
      this.continuation.origin,
    );
    this.listener.unavailable(reason, message, retryAfter);
  }

  /** Cancels the selection and withdraws a pending placement request. */
  cancel(): void {
    this.cancelled = true;
    this.cancelPlacement();
  }
}
