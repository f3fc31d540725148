/**
 * A registry over virtual time and a heap of stated numbers, for tests.
 */
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as heldMemory from './heldMemory.js';
import * as holders from './holders.js';
import type * as types from './types.js';

const LIMIT = 1_000_000;

/** The registry with what it wrote. */
export class HeldMemoryHarness {
  readonly time = new virtualTime.VirtualTime();
  readonly lines: string[] = [];
  readonly counts: string[] = [];
  readonly gauges = new Map<string, number>();
  flushes = 0;
  reading: types.HeapReading = { used: 100_000, limit: LIMIT, external: 7, resident: 9 };
  readonly memory: heldMemory.HeldMemory;

  constructor() {
    const noop = (): void => undefined;
    const write = (event: string, fields: ports.LogFields = {}): void => {
      this.lines.push(`${event} ${JSON.stringify(fields)}`);
    };
    this.memory = new heldMemory.HeldMemory({
      timers: timerService.create(this.time.clock, this.time),
      log: { debug: noop, info: write, warn: write, error: write },
      metrics: {
        count: (name, value = 1, tags = {}) => this.counts.push(`${name} ${value} ${JSON.stringify(tags)}`),
        gauge: (name, value, tags = {}) => this.gauges.set(`${name} ${tags.kind ?? ''}`.trim(), value),
        timing: noop,
      },
      readHeap: () => this.reading,
      flushLog: () => {
        this.flushes += 1;
      },
    });
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

  /** Registers a holder whose figures the test sets. */
  hold(kind: types.HolderKind, held: types.Held): { held: types.Held } {
    const state = { held };
    this.memory.register(holders.of(kind, { held: () => state.held }));
    return state;
  }
}
