/**
 * Dependencies and helper functions that all exchanges of an entry share.
 */
import type * as sendPolicy from '../backPressure/sendPolicy.js';
import type * as slotClient from '../callSlots/slotClient.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as placementFeatures from '../placement/placementFeatures.js';
import type * as quarantine from '../quarantine/quarantine.js';
import * as requestCauses from '../quarantine/requestCauses.js';
import type * as quarantineTypes from '../quarantine/types.js';
import * as software from '../streamOrigins/software.js';
import type * as streamOrigins from '../streamOrigins/streamOrigins.js';
import type * as originTypes from '../streamOrigins/types.js';
import type * as trafficTypes from '../traffic/types.js';
import type * as localBalancer from './localBalancer.js';
import type * as placementClient from './placementClient.js';
import type * as plannedStop from './plannedStop.js';
import type * as responseMemory from './responseMemory.js';
import type * as routeDurations from './routeDurations.js';
import type * as serviceRetryBudget from './serviceRetryBudget.js';
import type * as types from './types.js';

/** Services that exchanges depend on. */
export interface ExchangeContext {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly upstreams: types.UpstreamPort;
  readonly instances: instanceView.InstanceView;
  /** Decides which upstreams are temporarily excluded. */
  readonly sendPolicy: sendPolicy.SendPolicy;
  readonly balancer: localBalancer.LocalBalancer;
  readonly retryBudget: serviceRetryBudget.ServiceRetryBudget;
  readonly placement: placementClient.PlacementClient;
  /** Consulted by `upstreams` before each send. */
  readonly quarantine: quarantine.Quarantine;
  /** Returns whether a placement feature is enabled; by default all are. */
  readonly isEnabled?: placementFeatures.IsEnabled;
  /** Origins of streams that callers take up. */
  readonly origins: streamOrigins.StreamOrigins;
  /** Slots of fragile upstreams; absent if all may be sent to at any time. */
  readonly slots?: slotClient.SlotClient;
  /** Room for responses that are held until they are complete. */
  readonly responseMemory: responseMemory.ResponseMemory;
  /** How long requests of each route take at this entry. */
  readonly routeDurations: routeDurations.RouteDurations;
  /** The end of this entry, once it drains. */
  readonly plannedStop: plannedStop.PlannedStop;
  /** True while this entry reaches no upstream by its own links; never if absent. */
  readonly isCutOff?: () => boolean;
}

/** A request together with its route, service and client account. */
export interface RoutedRequest {
  readonly request: types.TrafficRequest;
  readonly caller: types.CallerPort;
  readonly route: trafficTypes.Route;
  readonly service: trafficTypes.Service;
  /** Other services among which the route splits its requests; absent if there are none. */
  readonly otherServices?: readonly trafficTypes.Service[];
  /** Name of the client account; undefined if none is required. */
  readonly account?: string;
  /** Priority of the client account; undefined if it has none. */
  readonly accountPriority?: number;
  /** Priority sent to upstreams: that of the client account, or else that of the route. */
  readonly upstreamPriority: number;
  /** Data centres in which the request may run; undefined if it may run in any. */
  readonly dataCentres?: readonly string[];
  /** Time by which the response must be complete. */
  readonly deadline: ports.Milliseconds;
  /** Version of the configuration that selected the route. */
  readonly version: number;
}

/** Retry delay if a service has no ready upstream; about one announcement interval. */
export const NO_UPSTREAM_RETRY_DELAY: ports.Milliseconds = 500;

/** Refusal of an entry that is cut off while no other entry relays; the retry reaches another one. */
const CUT_OFF: types.Refusal & { readonly retryAfter: ports.Milliseconds } = {
  reason: 'noUpstream',
  message: 'this entry reaches no upstream, and no other entry relays its requests',
  retryAfter: NO_UPSTREAM_RETRY_DELAY,
  closesConnection: true,
};

/** Refusal of a stream whose software no upstream runs any more; waiting does not help. */
const SOFTWARE_GONE: types.Refusal = {
  reason: 'softwareGone',
  message: 'no upstream runs the software that began the stream; send the request anew, without a last event',
};

/**
 * Digest of a request's content. It is the same for every attempt, so that logs of several entries can be correlated.
 *
 * @returns the digest
 * @example
 * ```ts
 * log.info('attemptFailed', { request: routed.request.identity, content: exchangeContext.contentDigestOf(routed) });
 * ```
 */
export function contentDigestOf(routed: RoutedRequest): string {
  return causesOf(routed).content;
}

/**
 * What may be the cause if upstreams crash under a request.
 *
 * @returns its content and the shared parts of its prompt
 * @example
 * ```ts
 * context.quarantine.verdictOf(exchangeContext.causesOf(routed));
 * ```
 */
export function causesOf({ request, account, service }: RoutedRequest): requestCauses.RequestCauses {
  return requestCauses.forRequest(request, account ?? '', service.name);
}

/**
 * Instances that are eligible for a request.
 *
 * @param origin - origin of a stream that has events; undefined for a request that may run anywhere
 * @returns the ready instances of its service in the permitted data centres
 * @example
 * ```ts
 * const instance = context.balancer.choose(exchangeContext.candidatesOf(context, routed), tried, now);
 * ```
 */
export function candidatesOf(
  { instances }: ExchangeContext,
  { service, dataCentres }: RoutedRequest,
  origin?: originTypes.StreamOrigin,
): readonly instanceView.Instance[] {
  const ready = instances.readyOf(service.name);
  const matching =
    origin === undefined ? ready : ready.filter((instance) => software.mayContinue(origin, instance));
  return dataCentres === undefined
    ? matching
    : matching.filter((instance) => dataCentres.includes(instance.dataCentre));
}

/**
 * Builds the refusal of a request for which no eligible instance is left.
 *
 * @param defaultMessage - the message if candidates exist and not all of them are temporarily excluded
 * @param origin - origin of a stream that has events
 * @example
 * ```ts
 * const refusal = exchangeContext.noUpstreamRefusal(context, routed, 'no upstream accepted the request');
 * ```
 */
export function noUpstreamRefusal(
  context: ExchangeContext,
  routed: RoutedRequest,
  defaultMessage: string,
  origin?: originTypes.StreamOrigin,
): types.Refusal {
  const now = context.timers.now();
  const candidates = candidatesOf(context, routed, origin);
  if (origin !== undefined && candidates.length === 0 && candidatesOf(context, routed).length > 0) {
    return SOFTWARE_GONE;
  }
  const exclusion = context.sendPolicy.exclusionOfAll(candidates, now);
  if (exclusion === undefined && candidates.length > 0 && context.isCutOff?.() === true) {
    return CUT_OFF;
  }
  if (exclusion === undefined) {
    const message = candidates.length === 0 ? describeNoUpstream(context, routed) : defaultMessage;
    return { reason: 'noUpstream', message, retryAfter: NO_UPSTREAM_RETRY_DELAY };
  }
  return {
    reason: exclusion.until === undefined ? 'noUpstream' : 'overloaded',
    message: context.sendPolicy.messageOf(exclusion),
    retryAfter: context.sendPolicy.retryAfter(exclusion, now, NO_UPSTREAM_RETRY_DELAY),
  };
}

function describeNoUpstream({ instances }: ExchangeContext, { service, dataCentres }: RoutedRequest): string {
  const isElsewhere = dataCentres !== undefined && instances.readyOf(service.name).length > 0;
  return isElsewhere
    ? 'no upstream is ready in a region where the request may run'
    : instances.unavailabilityReason(service.name);
}

/**
 * Decides whether a failed attempt counts against its upstream in the health checks of this entry.
 *
 * @param failure - why the attempt failed
 * @returns false if it failed because of an entry: nothing was sent for an exclusion or for links that are cut, or the response was given up
 * @example
 * ```ts
 * if (exchangeContext.countsAgainstUpstream(context, 'notSent')) balancer.recordFailure(identity, 'stall', now);
 * ```
 */
export function countsAgainstUpstream(context: ExchangeContext, failure: types.ExchangeFailure): boolean {
  return (
    failure !== 'withheld' &&
    failure !== 'givenUp' &&
    failure !== 'unread' &&
    !(failure === 'notSent' && context.isCutOff?.() === true)
  );
}

/**
 * Whether an instance is temporarily excluded. A move is not begun to such a target, since the run would be lost once its
 * source has stopped.
 *
 * @example
 * ```ts
 * if (exchangeContext.isExcluded(context, target)) done('failed');
 * ```
 */
export function isExcluded(
  { sendPolicy: policy, timers }: ExchangeContext,
  instance: instanceView.Instance,
): boolean {
  return policy.exclusionOf(instance, timers.now()) !== undefined;
}

/**
 * Quarantine verdict on a request.
 *
 * @returns the verdict
 * @example
 * ```ts
 * if (exchangeContext.quarantineVerdictOf(context, routed) === 'quarantined') refuse();
 * ```
 */
export function quarantineVerdictOf(
  context: ExchangeContext,
  routed: RoutedRequest,
): quarantineTypes.Verdict {
  return context.quarantine.verdictOf(causesOf(routed));
}

/**
 * Refusal of a request that is quarantined, or waits for the trial of another.
 *
 * @param mayHaveRun - true if an attempt may have run it
 * @example
 * ```ts
 * caller.refuse(exchangeContext.quarantineRefusal(context, routed, possibleRuns > 0));
 * ```
 */
export function quarantineRefusal(
  context: ExchangeContext,
  routed: RoutedRequest,
  mayHaveRun: boolean,
): types.Refusal {
  const { message, retryAfter } = context.quarantine.explanationFor(causesOf(routed));
  return mayHaveRun ? { reason: 'outcomeUnknown', message } : { reason: 'quarantined', message, retryAfter };
}

/** Outcomes of requests that upstreams worked on until the end, or until nobody waited any more. */
const OUTCOMES_WITH_DURATION: ReadonlySet<unknown> = new Set([
  'answered',
  'callerGone',
  'interrupted',
  'outcomeUnknown',
  'timeoutUnknown',
]);

/** What ends a request before its upstream does. */
export interface EarlyEnds {
  /** The deadline of the request has passed. */
  readonly atDeadline: () => void;
  /** Its content or a part of its prompt is quarantined. */
  readonly whenQuarantined: () => void;
  /** The process of this entry is about to be killed. */
  readonly beforeStop: () => void;
}

/**
 * Registers what ends a request before its upstream does.
 *
 * @returns a function that removes all callbacks
 * @example
 * ```ts
 * const cancel = exchangeContext.onEarlyEnd(context, routed, { atDeadline, whenQuarantined, beforeStop });
 * ```
 */
export function onEarlyEnd(context: ExchangeContext, routed: RoutedRequest, ends: EarlyEnds): ports.Cancel {
  const { timers, quarantine: quarantineState, plannedStop: stop } = context;
  const cancels = [
    timers.after(routed.deadline - timers.now(), ends.atDeadline),
    quarantineState.onQuarantined(causesOf(routed), ends.whenQuarantined),
    stop.whenImminent(ends.beforeStop),
  ];
  return () => {
    for (const cancel of cancels) {
      cancel();
    }
  };
}

/**
 * Logs the outcome of a request and records its duration.
 *
 * @param outcome - log fields that describe the outcome
 * @example
 * ```ts
 * exchangeContext.logRequestEnd(context, routed, { outcome: 'answered', status: 200 });
 * ```
 */
export function logRequestEnd(
  context: ExchangeContext,
  routed: RoutedRequest,
  outcome: ports.LogFields,
): void {
  const { request, route, service, version } = routed;
  const milliseconds = Math.round(context.timers.now() - request.arrivedAt);
  // The content digest lets operators find the crash records of this request.
  const isRecorded = quarantineVerdictOf(context, routed) !== 'free';
  context.log.info('requestEnded', {
    request: request.identity,
    route: route.name,
    service: service.name,
    version,
    ...(isRecorded && { content: contentDigestOf(routed) }),
    ...outcome,
    milliseconds,
  });
  if (OUTCOMES_WITH_DURATION.has(outcome.outcome)) {
    context.routeDurations.record(route.name, milliseconds);
  }
  context.metrics.timing('relayed.whole', milliseconds, {
    kind: route.kind,
    outcome: String(outcome.outcome),
  });
}
