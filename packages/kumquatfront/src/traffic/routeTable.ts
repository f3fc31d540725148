/**
 * Looks up the route, service and client account of a request. The cost of a route lookup is linear in the number of
 * slashes in the path and independent of the number of routes.
 */
import type * as types from './types.js';

/** Converts a host to lower case and removes its port. */
function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

/** Lookup tables of one configuration; see the module comment. */
export class RouteTable {
  readonly version: number;
  readonly limits: types.CallerLimits;
  /** True if requests must carry the key of a client account. */
  readonly requiresKeys: boolean;
  /** True if at least one client account states a weight, so that capacity is divided by shares. */
  readonly hasWeights: boolean;
  private readonly hosts = new Map<string, Map<string, types.Route>>();
  private readonly services = new Map<string, types.Service>();
  private readonly accounts = new Map<string, types.Account>();
  private readonly weights = new Map<string, number>();

  constructor(configuration: types.TrafficConfiguration) {
    this.version = configuration.version;
    this.limits = configuration.limits;
    this.requiresKeys = configuration.accounts !== undefined;
    this.hasWeights = configuration.accounts?.some(({ weight }) => weight !== undefined) ?? false;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, types.Route>();
      prefixes.set(route.pathPrefix, route);
      this.hosts.set(host, prefixes);
    }
    for (const service of configuration.services) {
      this.services.set(service.name, service);
    }
    for (const account of configuration.accounts ?? []) {
      this.weights.set(account.name, account.weight ?? 1);
      for (const key of account.keys) {
        this.accounts.set(key, account);
      }
    }
  }

  /** Returns the route with the longest matching path prefix; `host` may include a port. */
  routeOf(host: string, path: string): types.Route | undefined {
    const prefixes = this.hosts.get(normalizeHost(host));
    if (prefixes === undefined) {
      return undefined;
    }
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined || end === 0) {
        return route;
      }
    }
    return undefined;
  }

  /** Returns the home regions of each route of a host that is restricted to some. */
  homesOf(host: string): readonly (readonly string[])[] {
    const routes = [...(this.hosts.get(normalizeHost(host))?.values() ?? [])];
    return routes.flatMap(({ homes }) => (homes === undefined ? [] : [homes]));
  }

  serviceOf(name: string): types.Service | undefined {
    return this.services.get(name);
  }

  accountOf(key: string): types.Account | undefined {
    return this.accounts.get(key);
  }

  /** Weight of a client account by name; 1 if it is unknown or has none. */
  weightOf(account: string): number {
    return this.weights.get(account) ?? 1;
  }

  /** Selects one of a route's services by weight; `draw` is a random number in [0, 1). */
  pickService(route: types.Route, draw: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = draw * total;
    for (const target of route.targets) {
      remaining -= target.weight;
      if (remaining < 0) {
        return target.service;
      }
    }
    return route.targets.at(-1)?.service ?? '';
  }
}
