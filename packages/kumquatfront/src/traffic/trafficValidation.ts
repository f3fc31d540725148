/**
 * Validates a traffic configuration before it is proposed: an inconsistent one would make all entries fail the same
 * requests at the same time.
 */
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as types from './types.js';

/**
 * Maximum size of a configuration, some fifteen thousand routes. Its text and its routes fit in the memory of every process
 * of the system, and a log entry with it in one message between control replicas.
 */
export const MAXIMUM_CONFIGURATION_BYTES = 4 * 1024 * 1024;

type ValidationResult = results.Result<types.TrafficConfiguration, failures.Failure>;

function reject(message: string, remedy: string): ValidationResult {
  return results.Err(failures.create('badInput', message, remedy));
}

function checkRoute(route: types.Route, services: ReadonlySet<string>): ValidationResult | undefined {
  if (!(route.timeout > 0)) {
    return reject(`Route "${route.name}" must have a positive timeout.`, 'Set a timeout above 0 ms.');
  }
  if (!/^\/(.*\/)?$/.test(route.pathPrefix)) {
    return reject(
      `Route "${route.name}" has the invalid path prefix "${route.pathPrefix}".`,
      'Use a prefix that begins and ends with a slash.',
    );
  }
  const unknown = route.targets.find((target) => !services.has(target.service));
  if (unknown !== undefined) {
    return reject(
      `Route "${route.name}" references the unknown service "${unknown.service}".`,
      'Add the service or correct its name.',
    );
  }
  if (route.targets.some((target) => !(target.weight >= 0))) {
    return reject(`Route "${route.name}" has a negative weight.`, 'Use weights of 0 or more.');
  }
  if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) {
    return reject(
      `The weights of route "${route.name}" add up to 0.`,
      'Set a weight above 0 for at least one target.',
    );
  }
  return undefined;
}

function checkDuplicateRoutes(routes: readonly types.Route[]): ValidationResult | undefined {
  const routeKeys = new Set<string>();
  for (const route of routes) {
    const routeKey = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    if (routeKeys.has(routeKey)) {
      return reject(
        `Two routes share the host "${route.host}" and the prefix "${route.pathPrefix}".`,
        'Remove one of them.',
      );
    }
    routeKeys.add(routeKey);
  }
  return undefined;
}

function checkSharedKeys(accounts: readonly types.Account[]): ValidationResult | undefined {
  const owners = new Map<string, string>();
  for (const account of accounts) {
    for (const key of account.keys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== account.name) {
        return reject(
          `Client accounts "${owner}" and "${account.name}" share a key.`,
          'Use different keys for each account.',
        );
      }
      owners.set(key, account.name);
    }
  }
  return undefined;
}

function checkWeights(accounts: readonly types.Account[]): ValidationResult | undefined {
  const invalid = accounts.find(({ weight = 1 }) => !(weight > 0 && Number.isFinite(weight)));
  return invalid === undefined
    ? undefined
    : reject(
        `Client account "${invalid.name}" has the invalid weight ${invalid.weight ?? 1}.`,
        'Set a finite weight above 0, or leave it out for 1.',
      );
}

/**
 * Checks the size of a configuration before it is decoded.
 *
 * @param text - the text sent by the operator
 * @returns a `badInput` failure if it is too large
 * @example
 * ```ts
 * const checked = trafficValidation.checkSize(text).andThen(() => decode(text));
 * ```
 */
export function checkSize(text: string): results.Result<null, failures.Failure> {
  const bytes = Buffer.byteLength(text);
  if (bytes <= MAXIMUM_CONFIGURATION_BYTES) {
    return results.Ok(null);
  }
  const message = `The configuration has ${bytes} bytes; at most ${MAXIMUM_CONFIGURATION_BYTES} are accepted.`;
  return results.Err(failures.create('badInput', message, 'Remove routes that are not needed.'));
}

/**
 * Checks the consistency of a configuration.
 *
 * @param configuration - the complete configuration
 * @returns the configuration, or a `badInput` failure that describes the first inconsistency
 * @example
 * ```ts
 * const checked = trafficValidation.check(configuration);
 * ```
 */
export function check(configuration: types.TrafficConfiguration): ValidationResult {
  const services = new Set(configuration.services.map((service) => service.name));
  for (const route of configuration.routes) {
    const rejection = checkRoute(route, services);
    if (rejection !== undefined) {
      return rejection;
    }
  }
  return (
    checkDuplicateRoutes(configuration.routes) ??
    checkSharedKeys(configuration.accounts ?? []) ??
    checkWeights(configuration.accounts ?? []) ??
    results.Ok(configuration)
  );
}
