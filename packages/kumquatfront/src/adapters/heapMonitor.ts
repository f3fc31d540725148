/**
 * Reads the heap of this process and observes its major collections.
 */
import * as performanceHooks from 'node:perf_hooks';
import * as v8 from 'node:v8';
import * as virtualMachine from 'node:vm';

import type * as heldMemoryTypes from '../heldMemory/types.js';

const BYTES_PER_MEGABYTE = 1_048_576;

/** Young generation that the limit of Node.js includes, unless stated: three times 16 MB. */
const DEFAULT_YOUNG_BYTES = 48 * BYTES_PER_MEGABYTE;

const OLD_SPACE_OPTION = /^--max[-_]old[-_]space[-_]size=(\d+)$/;

/**
 * Size of the old generation at which the process ends. The limit that V8 states includes three times the semi-space: 114 MB
 * for an old generation of 90 MB, and a process ends below 90.
 */
function oldGenerationLimit(options: readonly string[]): number {
  const stated = options
    .map((option) => OLD_SPACE_OPTION.exec(option)?.[1])
    .filter((size) => size !== undefined)
    .at(-1);
  const { heap_size_limit: whole } = v8.getHeapStatistics();
  return stated === undefined
    ? Math.max(whole / 2, whole - DEFAULT_YOUNG_BYTES)
    : Number(stated) * BYTES_PER_MEGABYTE;
}

/**
 * Creates a function that reads the heap.
 *
 * @example
 * ```ts
 * const readHeap = heapMonitor.createReader();
 * readHeap().used; // 21_000_000
 * ```
 */
export function createReader(): () => heldMemoryTypes.HeapReading {
  const limit = oldGenerationLimit([...(process.env.NODE_OPTIONS ?? '').split(/\s+/), ...process.execArgv]);
  let lastResident = 0;
  return () => {
    const { used_heap_size: used, external_memory: external } = v8.getHeapStatistics();
    try {
      lastResident = process.memoryUsage.rss();
    } catch {
      // Reading it needs a file descriptor; while none is left, the last figure stands.
    }
    return { used, limit, external, resident: lastResident };
  };
}

/**
 * Calls back soon after each major collection of the heap.
 *
 * @returns ends the observation
 * @example
 * ```ts
 * heapMonitor.observeMajorCollections(() => heldMemory.onMajorCollection());
 * ```
 */
export function observeMajorCollections(onCollection: () => void): () => void {
  const major = performanceHooks.constants.NODE_PERFORMANCE_GC_MAJOR;
  const observer = new performanceHooks.PerformanceObserver((list) => {
    const isMajor = (entry: object): boolean =>
      (entry as { readonly detail?: { readonly kind?: number } }).detail?.kind === major;
    if (list.getEntries().some(isMajor)) {
      onCollection();
    }
  });
  observer.observe({ entryTypes: ['gc'] });
  return () => {
    observer.disconnect();
  };
}

/**
 * Creates a function that makes a major collection. Node.js offers none by itself unless a flag is set at its start; the flag is
 * set for this function only. A collection of a heap of 70 MB took 8 to 67 ms.
 *
 * @example
 * ```ts
 * const collect = heapMonitor.createCollector();
 * collect();
 * ```
 */
export function createCollector(): () => void {
  v8.setFlagsFromString('--expose-gc');
  const collect = virtualMachine.runInNewContext('gc') as () => void;
  v8.setFlagsFromString('--no-expose-gc');
  return collect;
}
