/**
 * A registry over virtual time and a heap of stated numbers, for tests.
 */
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as heapShedding from './heapShedding.js';
import * as heldMemory from './heldMemory.js';
import * as holders from './holders.js';
import type * as types from './types.js';

const LIMIT = 1_000_000;

/** A holder of the tests. */
export interface HarnessHolder {
  held: types.Held;
  reportGrowth: (growth: types.Held) => void;
  largest: () => types.LargestHeld | undefined;
}

/** The registry with what it wrote. */
export class HeldMemoryHarness {
  readonly time = new virtualTime.VirtualTime();
  readonly lines: string[] = [];
  readonly counts: string[] = [];
  readonly gauges = new Map<string, number>();
  flushes = 0;
  reading: types.HeapReading = { used: 100_000, limit: LIMIT, external: 7, resident: 9 };
  readonly memory: heldMemory.HeldMemory;
  /** Collections that the shedding has made. */
  collections = 0;
  private readonly log: ports.Log;
  private readonly metrics: ports.Metrics;

  constructor() {
    const noop = (): void => undefined;
    const write = (event: string, fields: ports.LogFields = {}): void => {
      this.lines.push(`${event} ${JSON.stringify(fields)}`);
    };
    this.log = { debug: noop, info: write, warn: write, error: write };
    this.metrics = {
      count: (name, value = 1, tags = {}) => this.counts.push(`${name} ${value} ${JSON.stringify(tags)}`),
      gauge: (name, value, tags = {}) => this.gauges.set(`${name} ${tags.kind ?? ''}`.trim(), value),
      timing: noop,
    };
    this.memory = new heldMemory.HeldMemory({
      timers: timerService.create(this.time.clock, this.time),
      ...{ log: this.log, metrics: this.metrics },
      readHeap: () => this.reading,
      flushLog: () => {
        this.flushes += 1;
      },
    });
  }

  /** Lets the process shed while its heap is nearly full. */
  shed(): heapShedding.HeapShedding {
    const { log, metrics, memory } = this;
    const collect = (): void => {
      this.collections += 1;
    };
    return new heapShedding.HeapShedding({ log, metrics, memory, collect });
  }

  /** Lines of the log by their event. */
  linesOf(event: string): readonly string[] {
    return this.lines.filter((line) => line.startsWith(event));
  }

  /** Sets the heap in use, with its garbage. */
  use(used: number): void {
    this.reading = { ...this.reading, used };
  }

  /** A major collection leaves so much. */
  collect(used: number): void {
    this.use(used);
    this.memory.onMajorCollection();
  }

  /** Registers a holder whose figures the test sets, and which tells that it has grown when the test says so. */
  hold(kind: types.HolderKind, held: types.Held): HarnessHolder {
    const state: HarnessHolder = {
      held,
      reportGrowth: () => undefined,
      largest: () => undefined,
    };
    const onGrowth = (callback: (growth: types.Held) => void): void => {
      state.reportGrowth = callback;
    };
    this.memory.register(
      holders.of(kind, { held: () => state.held, onGrowth, largest: () => state.largest() }),
    );
    return state;
  }
}
