/**
 * An entry's front for relayed requests: finds route, client account and service, and starts the exchange.
 * Whatever cannot be served is refused here at once.
 */
import type * as ports from '../kernel/ports.js';
import * as residency from '../traffic/residency.js';
import type * as routeTable from '../traffic/routeTable.js';
import type * as trafficTypes from '../traffic/types.js';
import * as contentDigest from '../quarantine/contentDigest.js';
import * as quarantine from '../quarantine/quarantine.js';
import type * as exchangeContext from './exchangeContext.js';
import * as plainExchange from './plainExchange.js';
import * as startingHold from './startingHold.js';
import * as streamExchange from './streamExchange.js';
import type * as types from './types.js';

/**
 * Time to come back where the entry has no configuration yet. Where only this entry has started it has one within
 * a tenth of a second and hardly refuses; where everything has, an election and the first announcements come first:
 * 1.2 to 1.6 s in runs with all processes killed. Sooner, a caller would use up its last try for another refusal.
 */
const NO_CONFIGURATION_RETRY: ports.Milliseconds = 1_500;

/** Time to come back, to another entry, from one that is stopping. */
const DRAINING_RETRY: ports.Milliseconds = 20;

/** What the relay is made from. */
export interface TrafficRelayOptions {
  readonly context: exchangeContext.ExchangeContext;
  readonly random: ports.Random;
  /** Region of each data centre. */
  readonly regions: residency.Regions;
  readonly routes: () => routeTable.RouteTable | undefined;
  /** True once this entry has been told to stop. */
  readonly draining: () => boolean;
}

interface Admitted {
  readonly route: trafficTypes.Route;
  readonly account?: trafficTypes.Account;
}

/** The relay; see the module comment. */
export class TrafficRelay {
  private readonly options: TrafficRelayOptions;
  private readonly starting: startingHold.StartingHold;

  constructor(options: TrafficRelayOptions) {
    this.options = options;
    this.starting = new startingHold.StartingHold(options.context.timers);
  }

  /** Called once there is a configuration: serves what came before it. */
  configured(): void {
    this.starting.release((request, caller) => {
      this.handle(request, caller);
    });
  }

  /** Serves one request. */
  handle(request: types.TrafficRequest, caller: types.CallerPort): void {
    const routes = this.options.routes();
    if (routes === undefined) {
      this.holdOrRefuse(request, caller);
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
    // A long generation cannot end before this process must: elsewhere it can, and it has not begun here.
    if (this.options.draining() && service.engine !== undefined) {
      const message = 'this entry is stopping';
      this.refuse(request, caller, { reason: 'draining', message, retryAfter: DRAINING_RETRY });
      return;
    }
    const content = contentDigest.of(request, account?.name ?? '');
    if (this.options.context.quarantine.verdictOf(content) === 'quarantined') {
      this.refuseQuarantined(request, caller, content);
      return;
    }
    const limit = Math.min(request.patience ?? Number.POSITIVE_INFINITY, route.timeout);
    this.start({
      request,
      caller,
      route,
      service,
      account: account?.name,
      accountPriority: account?.priority,
      rank: account?.priority ?? route.priority,
      dataCentres: residency.dataCentresIn(residency.regionsOf(route, account), this.options.regions),
      answerBy: request.arrivedAt + limit,
      version: routes.version,
    });
  }

  /** No time to come back is told: whoever comes back with the same content is turned away again. */
  private refuseQuarantined(request: types.TrafficRequest, caller: types.CallerPort, content: string): void {
    const { log, quarantine: held } = this.options.context;
    log.info('requestQuarantined', { request: request.identity, ...held.describe(content) });
    this.refuse(request, caller, { reason: 'quarantined', message: quarantine.QUARANTINED });
  }

  private holdOrRefuse(request: types.TrafficRequest, caller: types.CallerPort): void {
    const refuse = (): void => {
      const message = 'this entry has no configuration yet';
      const retryAfter = NO_CONFIGURATION_RETRY;
      this.refuse(request, caller, { reason: 'noConfiguration', message, retryAfter });
    };
    if (this.options.draining() || !this.starting.hold(request, caller, refuse)) {
      refuse();
      return;
    }
    this.options.context.log.info('requestHeld', { request: request.identity, reason: 'noConfiguration' });
  }

  private start(routed: exchangeContext.RoutedRequest): void {
    const { context } = this.options;
    const exchange =
      routed.route.kind === 'stream'
        ? new streamExchange.StreamExchange(context, routed)
        : new plainExchange.PlainExchange(context, routed);
    exchange.start();
  }

  private admit(
    routes: routeTable.RouteTable,
    request: types.TrafficRequest,
    caller: types.CallerPort,
  ): Admitted | undefined {
    const path = request.path.split('?', 1)[0] ?? '';
    const route = routes.routeOf(request.host, path);
    if (route === undefined) {
      const message = `no route for ${request.host}${path} in version ${routes.version}`;
      this.refuse(request, caller, { reason: 'noRoute', message });
      return undefined;
    }
    if (!routes.wantsKeys || route.anonymous) {
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
