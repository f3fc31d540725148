/**
 * Watches the memory of this process: what it holds by kind, and how full its heap is.
 */
import * as heapShedding from '../heldMemory/heapShedding.js';
import * as heldMemory from '../heldMemory/heldMemory.js';
import * as holders from '../heldMemory/holders.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as heapMonitor from './heapMonitor.js';
import * as keyValueLog from './keyValueLog.js';
import * as systemTime from './systemTime.js';

/** Parts that every process has. */
export interface ProcessMemoryOptions {
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly requests: holders.Countable;
  readonly transport: holders.Countable;
}

/** The memory of a process while it is watched. */
export interface WatchedMemory {
  /** What is held; an entry registers what it holds itself. */
  readonly held: heldMemory.HeldMemory;
  readonly stop: () => void;
}

/**
 * Begins to watch the memory.
 *
 * @example
 * ```ts
 * const { held, stop } = processMemory.watch({ log, metrics, requests, transport });
 * ```
 */
export function watch({ log, metrics, requests, transport }: ProcessMemoryOptions): WatchedMemory {
  const timers = timerService.create(systemTime.clock, systemTime.scheduler);
  const memory = new heldMemory.HeldMemory({
    timers,
    ...{ log, metrics },
    readHeap: heapMonitor.createReader(),
    flushLog: keyValueLog.flushNow,
  });
  memory.register(holders.of('requests', requests));
  memory.register(holders.of('messages', transport));
  memory.register(holders.of('log', keyValueLog));
  const endObservation = heapMonitor.observeMajorCollections(() => {
    memory.onMajorCollection();
  });
  return {
    held: memory,
    stop: () => {
      endObservation();
      timers.stop();
    },
  };
}

/**
 * Lets an entry shed when its heap is nearly full.
 *
 * @param memory - what the entry holds
 * @returns tells which new requests are refused
 * @example
 * ```ts
 * const shedding = processMemory.shed(held, { log, metrics });
 * ```
 */
export function shed(
  memory: heldMemory.HeldMemory,
  { log, metrics }: Pick<ProcessMemoryOptions, 'log' | 'metrics'>,
): heapShedding.HeapShedding {
  const collect = heapMonitor.createCollector();
  return new heapShedding.HeapShedding({ log, metrics, memory, collect });
}
