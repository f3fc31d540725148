/**
 * Hostile clients at the other addresses of the platform's processes.
 */
import * as hostileCases from './hostileCases.js';

const ready = { listener: 'ready', request: 'GET /-/readyz', headers: ['Host: a'] } as const;
const metrics = { listener: 'metrics', request: 'GET /metrics', headers: ['Host: a'] } as const;
const controlMetrics = { ...metrics, listener: 'controlMetrics' } as const;
const operators = { listener: 'operators', request: 'GET /-/config/fetch', headers: ['Host: a'] } as const;
const replacing = { ...operators, request: 'POST /-/config/replace' } as const;
const registry = {
  listener: 'registry',
  request: 'GET /-/lookup?name=soak.example&zone=a&region=a',
  headers: ['Host: a'],
} as const;

hostileCases.define([
  // The address that says ready parses and answers whatever is sent ahead.
  { ...ready, failure: 'requests ahead at the address that says ready', kinds: ['shortRequestsAhead'] },
  // Chunks of a body that nobody reads take the processor from the callers of the entry.
  {
    ...ready,
    ...{
      failure: 'bodies in bytes at the address that says ready',
      kinds: ['bytesOfBodies'],
      connections: 240,
    },
  },
  // Each request ahead renders a page of metrics.
  { ...metrics, failure: 'requests ahead at the metrics of an entry', kinds: ['wholeRequestsAhead'] },
  { ...controlMetrics, failure: 'requests ahead at the metrics of control', kinds: ['wholeRequestsAhead'] },
  // The bodies of operators were held chunk by chunk.
  { ...replacing, failure: 'bodies in bytes at the address for operators', kinds: ['bytesOfBodies'] },
  { ...replacing, failure: 'bodies in large pieces at the address for operators', kinds: ['piecesOfBodies'] },
  {
    ...replacing,
    failure: 'bodies that stop short at the address for operators',
    kinds: ['bodiesCutShort'],
  },
  // Each request ahead is a read that a quorum confirms.
  { ...operators, failure: 'requests ahead at the address for operators', kinds: ['wholeRequestsAhead'] },
  { ...operators, failure: 'bare requests ahead at the address for operators', kinds: ['bareRequestsAhead'] },
  { ...registry, failure: 'look-ups ahead', kinds: ['shortRequestsAhead'] },
  { ...registry, failure: 'bare requests ahead at the registry', kinds: ['bareRequestsAhead'] },
]);
