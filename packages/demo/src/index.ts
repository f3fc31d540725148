/**
 * Deployments of the demonstration, for benchmarks that run the real processes.
 */
export * as cluster from './cluster.js';
export * as configuring from './configuring.js';
export * as deployments from './deployments.js';
