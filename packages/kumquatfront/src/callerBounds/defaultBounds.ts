/**
 * Default bounds on what clients may hold of a process, from the limits of its VM.
 */
import type * as entryCapacity from '../entryLoad/entryCapacity.js';
import type * as types from './types.js';

const BYTES_PER_MEGABYTE = 1_048_576;

/** Maximum size of the body of a request to the product's own servers, in bytes. */
export const MAXIMUM_BODY_BYTES = 4 * BYTES_PER_MEGABYTE;

/** Share of the memory for requests; the process itself and the responses of upstreams need the rest. */
const MEMORY_SHARE = 0.1;

/** Memory and descriptors assumed for a process that states none. */
const ASSUMED_MEMORY_MEGABYTES = 200;
const ASSUMED_DESCRIPTORS = 4_096;

/** Descriptors that are kept for files. */
const RESERVED_DESCRIPTORS = 200;

/** Share of the other descriptors for connections of callers; each request that is served needs one to an upstream as well. */
const DESCRIPTOR_SHARE = 0.6;

const LEAST_CONNECTIONS = 32;

/**
 * Computes the default bounds.
 *
 * @param capacity - limits of the VM, as far as the deployment states them
 * @example
 * ```ts
 * const bounds = defaultBounds.forCapacity({ memoryMegabytes: 200, descriptors: 4_100 });
 * ```
 */
export function forCapacity(capacity: entryCapacity.EntryCapacity): types.CallerBounds {
  const { memoryMegabytes = ASSUMED_MEMORY_MEGABYTES, descriptors = ASSUMED_DESCRIPTORS } = capacity;
  const forConnections = Math.floor((descriptors - RESERVED_DESCRIPTORS) * DESCRIPTOR_SHARE);
  return {
    heldBytes: Math.floor(memoryMegabytes * BYTES_PER_MEGABYTE * MEMORY_SHARE),
    requestsAhead: 16,
    stallTimeout: 20_000,
    connections: Math.max(LEAST_CONNECTIONS, forConnections),
  };
}
