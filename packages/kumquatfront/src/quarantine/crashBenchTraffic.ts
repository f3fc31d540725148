/**
 * What callers of the crash bench may ask: routes to its engines and to its plain service, and client accounts.
 */
import * as relayBench from '../relay/relayBench.js';
import type * as trafficTypes from '../traffic/types.js';
import type * as warmUpBounds from '../warmUp/warmUpBounds.js';

/** What all routes of the bench have in common. */
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

/** The routes of the bench. */
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
];

/** What cold upstreams of the bench tolerate; none of them says that it is cold. */
export const WARM_UP: warmUpBounds.WarmUp = { requestsPerSecond: 5, duration: 1_000 };

/** The services of the bench. */
export const services: readonly trafficTypes.Service[] = [
  { name: 'llm', maximumConnections: 200, warmUp: WARM_UP, engine: relayBench.engineTraits },
  { name: 'app', maximumConnections: 100, warmUp: WARM_UP },
];

/** The client accounts of the bench; the key of each is its name. */
export const accounts: readonly trafficTypes.Account[] = ['school-1', 'school-2'].map((name) => ({
  name,
  keys: [name],
}));

/** Host of all routes. */
export const HOST = routeBase.host;
