/**
 * Simulated deployment on virtual time, exported for benchmarks.
 */
export * as baseConfiguration from './language/baseConfiguration.js';
export * as host from './world/host.js';
export * as network from './world/network.js';
export * as session from './language/session.js';
export * as world from './world/world.js';
