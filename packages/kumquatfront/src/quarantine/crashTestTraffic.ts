/**
 * Routes, services and client accounts of the crash test harness.
 */
import * as relayTestHarness from '../relay/relayTestHarness.js';
import type * as trafficTypes from '../traffic/types.js';
import type * as warmUpBounds from '../warmUp/warmUpBounds.js';

/** Settings shared by all routes. */
const routeBase = {
  host: 'market.example',
  timeout: 10_000,
  objective: 1_500,
  priority: 1,
  maximumAttempts: 2,
  anonymous: false,
  resumable: true,
  longestPause: 180,
};

/** Routes to the engines and to the plain service. */
export const routes: readonly trafficTypes.Route[] = [
  {
    ...routeBase,
    name: 'notes',
    pathPrefix: '/notes/',
    kind: 'stream',
    targets: [{ service: 'llm', weight: 1 }],
  },
  {
    ...routeBase,
    name: 'stock',
    pathPrefix: '/stock/',
    kind: 'idempotent',
    objective: 120,
    timeout: 1_000,
    targets: [{ service: 'app', weight: 1 }],
  },
  {
    ...routeBase,
    name: 'orders',
    pathPrefix: '/orders/',
    kind: 'nonIdempotent',
    objective: 120,
    timeout: 1_000,
    targets: [{ service: 'app', weight: 1 }],
  },
];

/** Warm-up settings of the services; none of their upstreams reports that it is cold. */
export const WARM_UP: warmUpBounds.WarmUp = { requestsPerSecond: 5, duration: 1_000 };

/** Services behind the routes. */
export const services: readonly trafficTypes.Service[] = [
  { name: 'llm', maximumConnections: 200, warmUp: WARM_UP, engine: relayTestHarness.engineTraits },
  { name: 'app', maximumConnections: 100, warmUp: WARM_UP },
];

/** Client accounts; the key of each is its name. */
export const accounts: readonly trafficTypes.Account[] = ['school-1', 'school-2'].map((name) => ({
  name,
  keys: [name],
}));

/** Host of all routes. */
export const HOST = routeBase.host;
