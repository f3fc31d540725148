/**
 * Finds the route, service and client account of a request. A look-up costs one step for each slash of the
 * path, whatever the number of routes.
 */
import type * as types from './types.js';

/** A host as it is looked up: in lower case, without its port. */
function hostKey(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

/** The look-up tables of one configuration; see the module comment. */
export class RouteTable {
  readonly version: number;
  readonly limits: types.CallerLimits;
  /** True where requests must carry the key of a client account. */
  readonly wantsKeys: boolean;
  private readonly hosts = new Map<string, Map<string, types.Route>>();
  private readonly services = new Map<string, types.Service>();
  private readonly accounts = new Map<string, types.Account>();

  constructor(configuration: types.TrafficConfiguration) {
    this.version = configuration.version;
    this.limits = configuration.limits;
    this.wantsKeys = configuration.accounts !== undefined;
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
      for (const key of account.keys) {
        this.accounts.set(key, account);
      }
    }
  }

  /** The route with the longest prefix that begins the path; `host` may carry a port. */
  routeOf(host: string, path: string): types.Route | undefined {
    const prefixes = this.hosts.get(hostKey(host));
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

  /** Homes of the routes of a host that have any. */
  homesOf(host: string): readonly (readonly string[])[] {
    const routes = [...(this.hosts.get(hostKey(host))?.values() ?? [])];
    return routes.flatMap(({ homes }) => (homes === undefined ? [] : [homes]));
  }

  serviceOf(name: string): types.Service | undefined {
    return this.services.get(name);
  }

  accountOf(key: string): types.Account | undefined {
    return this.accounts.get(key);
  }

  /** Draws one of a route's services by weight; `draw` is in [0, 1). */
  pickService(route: types.Route, draw: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let rest = draw * total;
    for (const target of route.targets) {
      rest -= target.weight;
      if (rest < 0) {
        return target.service;
      }
    }
    return route.targets.at(-1)?.service ?? '';
  }
}
