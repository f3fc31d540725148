/**
 * Texts of configurations for tests, small and as large as on the wire, and their decoder.
 */
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as trafficTypes from '../traffic/types.js';
import * as canonicalJson from '../utils/canonicalJson.js';

/** Encodes a configuration for the harness decoder, which reads the version number in the first line. */
export function configurationText(version: number): string {
  return String(version);
}

/** Encodes a configuration that is followed by routes, as large as they are on the wire and the same in each version. */
export function largeConfigurationText(version: number, routeCount: number): string {
  const routes = Array.from({ length: routeCount }, (_, index) => routeText(index));
  return `${version}\n{"routes":[${routes.join(',')}]}`;
}

function routeText(index: number): string {
  const name = (part: string): string => canonicalJson.digest([part, index]);
  return JSON.stringify({
    name: `r-${name('name').slice(0, 7)}`,
    host: `${name('host').slice(0, 6)}.example`,
    pathPrefix: `/${name('path').slice(0, 8)}/`,
    ...{ kind: 'idempotent', timeout: 800, objective: 150, priority: 2, maximumAttempts: 2 },
    ...{ anonymous: false, resumable: false, longestPause: 180 },
    targets: [{ service: name('service').slice(0, 6), weight: 100 }],
  });
}

/** Parts that all configurations of a harness have in common. */
export type ConfigurationFixture = Pick<
  trafficTypes.TrafficConfiguration,
  'routes' | 'services' | 'accounts'
>;

/** Creates the decoder of a harness, whose configurations all have the same routes, services and accounts. */
export function createDecoder(fixture: ConfigurationFixture): trafficTypes.DecodeTraffic {
  return (text) => {
    const version = Number(text.split('\n', 1)[0]);
    if (!Number.isInteger(version)) {
      return results.Err(
        failures.create('badInput', 'The configuration is not a version number.', 'Send a number.'),
      );
    }
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    return results.Ok({ version, limits, ...fixture });
  };
}
