/**
 * Checks a whole traffic configuration before it is proposed: one that contradicts itself must never be in
 * force, because every entry would fail the same requests at the same moment.
 */
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as types from './types.js';

type Check = results.Result<types.TrafficConfiguration, failures.Failure>;

function refuse(message: string, remedy: string): Check {
  return results.Err(failures.create('badInput', message, remedy));
}

function checkRoute(route: types.Route, services: ReadonlySet<string>): Check | undefined {
  if (!(route.timeout > 0)) {
    return refuse(`Route "${route.name}" has no timeout.`, 'Give it a timeout above 0 ms.');
  }
  if (!/^\/(.*\/)?$/.test(route.pathPrefix)) {
    return refuse(
      `Route "${route.name}" has the prefix "${route.pathPrefix}".`,
      'Begin and end it with a slash.',
    );
  }
  const unknown = route.targets.find((target) => !services.has(target.service));
  if (unknown !== undefined) {
    return refuse(
      `Route "${route.name}" names the unknown service "${unknown.service}".`,
      'Add the service or correct its name.',
    );
  }
  if (route.targets.some((target) => !(target.weight >= 0))) {
    return refuse(`Route "${route.name}" has a negative weight.`, 'Give weights of 0 or more.');
  }
  if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) {
    return refuse(
      `The weights of route "${route.name}" add up to 0.`,
      'Give at least one target a weight above 0.',
    );
  }
  return undefined;
}

function checkPlaces(routes: readonly types.Route[]): Check | undefined {
  const places = new Set<string>();
  for (const route of routes) {
    const place = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    if (places.has(place)) {
      return refuse(
        `Two routes share the host "${route.host}" and the prefix "${route.pathPrefix}".`,
        'Remove one of them.',
      );
    }
    places.add(place);
  }
  return undefined;
}

function checkKeys(accounts: readonly types.Account[]): Check | undefined {
  const holders = new Map<string, string>();
  for (const account of accounts) {
    for (const key of account.keys) {
      const holder = holders.get(key);
      if (holder !== undefined && holder !== account.name) {
        return refuse(
          `Client accounts "${holder}" and "${account.name}" share a key.`,
          'Give each account keys of its own.',
        );
      }
      holders.set(key, account.name);
    }
  }
  return undefined;
}

/**
 * Checks what the fields of a configuration say of each other.
 *
 * @param configuration - the whole configuration
 * @returns the configuration, or a `badInput` failure that names the first contradiction
 * @example
 * ```ts
 * const checked = trafficValidation.check(configuration);
 * ```
 */
export function check(configuration: types.TrafficConfiguration): Check {
  const services = new Set(configuration.services.map((service) => service.name));
  for (const route of configuration.routes) {
    const refused = checkRoute(route, services);
    if (refused !== undefined) {
      return refused;
    }
  }
  return (
    checkPlaces(configuration.routes) ?? checkKeys(configuration.accounts ?? []) ?? results.Ok(configuration)
  );
}
