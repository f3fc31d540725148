/**
 * What every exchange of one entry shares.
 */
import type * as sendRules from '../backPressure/sendRules.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as contentDigest from '../quarantine/contentDigest.js';
import type * as quarantine from '../quarantine/quarantine.js';
import type * as quarantineTypes from '../quarantine/types.js';
import type * as trafficTypes from '../traffic/types.js';
import type * as localChoice from './localChoice.js';
import type * as placementClient from './placementClient.js';
import type * as retryAllowance from './retryAllowance.js';
import type * as types from './types.js';

/** Parts that exchanges use. */
export interface ExchangeContext {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly upstreams: types.UpstreamPort;
  readonly instances: instanceView.InstanceView;
  /** Say which upstreams may be sent something at this moment. */
  readonly rules: sendRules.SendRules;
  readonly choice: localChoice.LocalChoice;
  readonly allowance: retryAllowance.RetryAllowance;
  readonly placement: placementClient.PlacementClient;
  /** Its gate stands before `upstreams`. */
  readonly quarantine: quarantine.Quarantine;
}

/** One request with all that its route says of it. */
export interface RoutedRequest {
  readonly request: types.TrafficRequest;
  readonly caller: types.CallerPort;
  readonly route: trafficTypes.Route;
  readonly service: trafficTypes.Service;
  /** Name of the client account; undefined where none is needed. */
  readonly account?: string;
  /** Priority of the client account; undefined where it has none. */
  readonly accountPriority?: number;
  /** Priority towards upstreams: that of the account, else that of the route. */
  readonly rank: number;
  /** Data centres in which it may run; undefined where any will do. */
  readonly dataCentres?: readonly string[];
  /** Moment at which the caller must have its final answer. */
  readonly answerBy: ports.Milliseconds;
  /** Version of the configuration that decided. */
  readonly version: number;
}

/** Time to come back where no upstream of a service is known: about one announcement. */
export const NO_UPSTREAM_RETRY: ports.Milliseconds = 500;

/**
 * Digest of what a request asks for: the same for every attempt at it, so that on-call can follow one over entries.
 *
 * @param routed - the request
 * @returns the digest
 * @example
 * ```ts
 * log.info('attemptFailed', { request: routed.request.identity, content: exchangeContext.contentOf(routed) });
 * ```
 */
export function contentOf(routed: RoutedRequest): string {
  return contentDigest.of(routed.request, routed.account ?? '');
}

/**
 * Instances that may be sent a request.
 *
 * @param context - the entry's parts
 * @param routed - the request
 * @returns ready instances of its service in data centres in which it may run
 * @example
 * ```ts
 * const instance = context.choice.choose(exchangeContext.candidatesOf(context, routed), tried, now);
 * ```
 */
export function candidatesOf(
  { instances }: ExchangeContext,
  { service, dataCentres }: RoutedRequest,
): readonly instanceView.Instance[] {
  const ready = instances.readyOf(service.name);
  return dataCentres === undefined
    ? ready
    : ready.filter((instance) => dataCentres.includes(instance.dataCentre));
}

/**
 * What a caller is told where no instance is left that may be sent its request.
 *
 * @param context - the entry's parts
 * @param routed - the request
 * @param otherwise - a phrase for the caller where the instances could be sent something
 * @returns why, and when to come back
 * @example
 * ```ts
 * const refusal = exchangeContext.noneLeft(context, routed, 'no upstream took it');
 * ```
 */
export function noneLeft(
  context: ExchangeContext,
  routed: RoutedRequest,
  otherwise: string,
): types.Refusal & { readonly retryAfter: ports.Milliseconds } {
  const now = context.timers.now();
  const candidates = candidatesOf(context, routed);
  const hold = context.rules.holdOfAll(candidates, now);
  if (hold === undefined) {
    const message = candidates.length === 0 ? whyNone(context, routed) : otherwise;
    return { reason: 'noUpstream', message, retryAfter: NO_UPSTREAM_RETRY };
  }
  return {
    reason: hold.until === undefined ? 'noUpstream' : 'overloaded',
    message: context.rules.messageOf(hold),
    retryAfter: context.rules.retryAfter(hold, now, NO_UPSTREAM_RETRY),
  };
}

function whyNone({ instances }: ExchangeContext, { service, dataCentres }: RoutedRequest): string {
  const isElsewhere = dataCentres !== undefined && instances.readyOf(service.name).length > 0;
  return isElsewhere ? 'no upstream is in a region where it may run' : instances.whyNoneOf(service.name);
}

/**
 * What is held against the content of a request.
 *
 * @param context - the entry's parts
 * @param routed - the request
 * @returns the verdict
 * @example
 * ```ts
 * if (exchangeContext.verdictOf(context, routed) === 'quarantined') refuse();
 * ```
 */
export function verdictOf(context: ExchangeContext, routed: RoutedRequest): quarantineTypes.Verdict {
  return context.quarantine.verdictOf(contentOf(routed));
}

/**
 * Calls back once the content of a request is quarantined.
 *
 * @param context - the entry's parts
 * @param routed - the request
 * @param run - called then
 * @returns cancels it
 * @example
 * ```ts
 * const cancel = exchangeContext.whenQuarantined(context, routed, () => refuse());
 * ```
 */
export function whenQuarantined(
  context: ExchangeContext,
  routed: RoutedRequest,
  run: () => void,
): ports.Cancel {
  return context.quarantine.whenQuarantined(contentOf(routed), run);
}

/**
 * Logs how a request ended.
 *
 * @param context - the entry's parts
 * @param routed - the request
 * @param outcome - how it ended, with what decided it
 * @example
 * ```ts
 * exchangeContext.logEnd(context, routed, { outcome: 'answered', status: 200 });
 * ```
 */
export function logEnd(context: ExchangeContext, routed: RoutedRequest, outcome: ports.LogFields): void {
  const { request, route, service, version } = routed;
  const milliseconds = Math.round(context.timers.now() - request.arrivedAt);
  // On-call finds what was held against it by its content.
  const isHeld = verdictOf(context, routed) !== 'free';
  context.log.info('requestEnded', {
    request: request.identity,
    route: route.name,
    service: service.name,
    version,
    ...(isHeld && { content: contentOf(routed) }),
    ...outcome,
    milliseconds,
  });
  context.metrics.timing('relayed.whole', milliseconds, {
    kind: route.kind,
    outcome: String(outcome.outcome),
  });
}
