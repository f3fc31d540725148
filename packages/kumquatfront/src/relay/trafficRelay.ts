/**
 * Entry point for relayed requests: resolves route, client account and service, and starts the exchange.
 * Requests that cannot be served are refused at once.
 */
import type * as ports from '../kernel/ports.js';
import * as residency from '../traffic/residency.js';
import type * as routeTable from '../traffic/routeTable.js';
import type * as trafficTypes from '../traffic/types.js';
import * as requestCauses from '../quarantine/requestCauses.js';
import type * as exchangeContext from './exchangeContext.js';
import * as plannedStop from './plannedStop.js';
import * as bufferedExchange from './bufferedExchange.js';
import * as startupQueue from './startupQueue.js';
import * as streamExchange from './streamExchange.js';
import type * as types from './types.js';

/**
 * Retry delay while the entry has no configuration. It covers a full restart with a leader election, so that callers
 * do not use up their retries on further refusals.
 */
const NO_CONFIGURATION_RETRY_DELAY: ports.Milliseconds = 1_500;

/** Retry delay while the entry waits for a configuration that other entries have. */
const SUPERSEDED_RETRY_DELAY: ports.Milliseconds = 200;

const NO_CONFIGURATION: types.Refusal = {
  reason: 'noConfiguration',
  message: 'this entry has no configuration yet',
  retryAfter: NO_CONFIGURATION_RETRY_DELAY,
};

const SUPERSEDED: types.Refusal = {
  reason: 'supersededConfiguration',
  message: 'this entry has not received a configuration that was acknowledged',
  retryAfter: SUPERSEDED_RETRY_DELAY,
  closesConnection: true,
};

/** Dependencies of the relay. */
export interface TrafficRelayOptions {
  readonly context: exchangeContext.ExchangeContext;
  readonly random: ports.Random;
  /** Region of each data centre. */
  readonly regions: residency.Regions;
  readonly routes: () => routeTable.RouteTable | undefined;
  /** True while the routes must not be used, because newer ones were accepted too long ago; never if absent. */
  readonly isSuperseded?: () => boolean;
  /** Refusal of new generations while the entry would run out of memory; undefined while it would not. */
  readonly generationRefusal?: () => types.Refusal | undefined;
}

interface AdmittedRequest {
  readonly route: trafficTypes.Route;
  readonly account?: trafficTypes.Account;
}

/** Request relay of one entry; see the module comment. */
export class TrafficRelay {
  private readonly options: TrafficRelayOptions;
  private readonly startupQueue: startupQueue.StartupQueue;

  constructor(options: TrafficRelayOptions) {
    this.options = options;
    this.startupQueue = new startupQueue.StartupQueue(options.context.timers);
  }

  /** Serves the queued requests once a configuration is available. */
  onConfigured(): void {
    this.startupQueue.releaseAll((request, caller) => {
      this.handle(request, caller);
    });
  }

  /** Relays one request. */
  handle(request: types.TrafficRequest, caller: types.CallerPort): void {
    const routes = this.options.routes();
    if (routes === undefined) {
      this.queueOrRefuse(request, caller, NO_CONFIGURATION);
      return;
    }
    if (this.options.isSuperseded?.() === true) {
      this.queueOrRefuse(request, caller, SUPERSEDED);
      return;
    }
    const admitted = this.admit(routes, request, caller);
    if (admitted === undefined) {
      return;
    }
    const { route, account } = admitted;
    const service = routes.serviceOf(routes.pickService(route, this.options.random.next()));
    if (service === undefined) {
      const message = `route ${route.name} has no service`;
      this.refuse(request, caller, { reason: 'noRoute', message });
      return;
    }
    const limit = Math.min(request.callerTimeout ?? Number.POSITIVE_INFINITY, route.timeout);
    const deadline = request.arrivedAt + limit;
    if (this.mayOutlastEntry(route, service, deadline)) {
      this.refuse(request, caller, plannedStop.DRAINING);
      return;
    }
    const refusal = service.engine === undefined ? undefined : this.options.generationRefusal?.();
    if (refusal !== undefined) {
      this.refuse(request, caller, refusal);
      return;
    }
    const causes = requestCauses.forRequest(request, account?.name ?? '', service.name);
    if (!this.options.context.quarantine.admit(request, causes)) {
      this.refuseQuarantined(request, caller, causes);
      return;
    }
    const otherServices = route.targets
      .filter((target) => target.weight > 0 && target.service !== service.name)
      .map((target) => routes.serviceOf(target.service))
      .filter((other) => other !== undefined);
    this.start({
      request,
      caller,
      route,
      service,
      ...(otherServices.length > 0 && { otherServices }),
      account: account?.name,
      accountPriority: account?.priority,
      upstreamPriority: account?.priority ?? route.priority,
      dataCentres: residency.dataCentresIn(residency.regionsOf(route, account), this.options.regions),
      deadline,
      version: routes.version,
    });
  }

  /** Whether a request may still run when this entry, which drains, ends; another entry can serve it. */
  private mayOutlastEntry(
    route: trafficTypes.Route,
    service: trafficTypes.Service,
    deadline: ports.Milliseconds,
  ): boolean {
    const { plannedStop: stop, routeDurations, timers } = this.options.context;
    if (stop.answersBy === undefined) {
      return false;
    }
    const latestEnd = Math.min(deadline, timers.now() + routeDurations.upperBound(route.name));
    return service.engine !== undefined || latestEnd > stop.answersBy;
  }

  /** Refuses without a retry delay, because a retry would be refused again, unless single requests are tried. */
  private refuseQuarantined(
    request: types.TrafficRequest,
    caller: types.CallerPort,
    causes: requestCauses.RequestCauses,
  ): void {
    const { log, quarantine: quarantineState } = this.options.context;
    log.info('requestQuarantined', { request: request.identity, ...quarantineState.logFieldsOf(causes) });
    this.refuse(request, caller, { reason: 'quarantined', ...quarantineState.explanationFor(causes) });
  }

  private queueOrRefuse(
    request: types.TrafficRequest,
    caller: types.CallerPort,
    refusal: types.Refusal,
  ): void {
    const refuse = (): void => {
      this.refuse(request, caller, refusal);
    };
    const isDraining = this.options.context.plannedStop.answersBy !== undefined;
    if (isDraining || !this.startupQueue.enqueue(request, caller, refuse)) {
      refuse();
      return;
    }
    this.options.context.log.info('requestHeld', { request: request.identity, reason: refusal.reason });
  }

  private start(routed: exchangeContext.RoutedRequest): void {
    const { context } = this.options;
    const exchange =
      routed.route.kind === 'stream'
        ? new streamExchange.StreamExchange(context, routed)
        : new bufferedExchange.BufferedExchange(context, routed);
    exchange.start();
  }

  private admit(
    routes: routeTable.RouteTable,
    request: types.TrafficRequest,
    caller: types.CallerPort,
  ): AdmittedRequest | undefined {
    const path = request.path.split('?', 1)[0] ?? '';
    const route = routes.routeOf(request.host, path);
    if (route === undefined) {
      const message = `no route for ${request.host}${path} in version ${routes.version}`;
      this.refuse(request, caller, { reason: 'noRoute', message });
      return undefined;
    }
    if (!routes.requiresKeys || route.anonymous) {
      return { route };
    }
    const account = request.key === undefined ? undefined : routes.accountOf(request.key);
    if (account === undefined) {
      const message = `the key is of no client account in version ${routes.version}`;
      this.refuse(request, caller, { reason: 'unknownKey', message });
      return undefined;
    }
    return { route, account };
  }

  private refuse(request: types.TrafficRequest, caller: types.CallerPort, refusal: types.Refusal): void {
    this.options.context.log.info('requestRefused', {
      request: request.identity,
      reason: refusal.reason,
      message: refusal.message,
    });
    this.options.context.metrics.count('relayed.refusals', 1, { reason: refusal.reason });
    caller.refuse(refusal);
  }
}
