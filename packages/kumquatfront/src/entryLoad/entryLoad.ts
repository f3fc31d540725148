/**
 * Load of one entry: samples its utilization, and applies the decisions of this folder to it.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as relayTypes from '../relay/types.js';
import * as entryCapacity from './entryCapacity.js';
import * as entryUtilization from './entryUtilization.js';
import * as overloadResponse from './overloadResponse.js';
import * as slowReaders from './slowReaders.js';

/** Interval between samples; three for each status that control receives. */
const SAMPLE_INTERVAL: ports.Milliseconds = 200;

/** Samples for each update of the metrics. */
const SAMPLES_PER_METRIC = 5;

/** Measures the process. */
export interface LoadProbe {
  /** Mean event-loop lag since the last call: planned time of timers compared with their actual time. */
  readonly takeLag: () => ports.Milliseconds;
  readonly residentBytes: () => number;
}

/** Dependencies of {@link EntryLoad}. */
export interface EntryLoadOptions {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly random: ports.Random;
  readonly capacity: entryCapacity.EntryCapacity;
  readonly probe: LoadProbe;
}

/** Fields that a status message gains. */
export interface LoadStatus {
  readonly capacity?: entryCapacity.CapacityFigures;
  readonly utilization: entryUtilization.UtilizationFigures;
}

/** Load of one entry; see the module comment. */
export class EntryLoad {
  readonly readers: slowReaders.SlowReaders;
  private readonly options: EntryLoadOptions;
  private readonly utilization: entryUtilization.EntryUtilization;
  private readonly response: overloadResponse.OverloadResponse;
  private readonly capacity: entryCapacity.CapacityFigures | undefined;
  private bytes = 0;
  private openConnections = 0;
  private openStreams = 0;
  private sampleCount = 0;

  constructor(options: EntryLoadOptions) {
    this.options = options;
    const { timers, log, metrics, random, capacity } = options;
    this.capacity = entryCapacity.encode(capacity);
    this.utilization = new entryUtilization.EntryUtilization(capacity, timers.now());
    this.response = new overloadResponse.OverloadResponse(random);
    this.readers = new slowReaders.SlowReaders({
      now: () => timers.now(),
      log,
      metrics,
      memoryMegabytes: capacity.memoryMegabytes,
    });
    timers.every(
      () => SAMPLE_INTERVAL,
      () => {
        this.sample();
      },
    );
  }

  /** Fields for the next status message. */
  status(): LoadStatus {
    return {
      ...(this.capacity !== undefined && { capacity: this.capacity }),
      utilization: entryUtilization.encode(this.utilization.current),
    };
  }

  /** Counts bytes received from or sent to callers. */
  addBytes(count: number): void {
    this.bytes += count;
  }

  /** Counts a caller's connection; the returned function must be called once, when it closes. */
  openConnection(): () => void {
    this.openConnections += 1;
    return () => {
      this.openConnections -= 1;
    };
  }

  /** Counts a request that is being served; the returned function must be called once, when it ends. */
  openRequest(): () => void {
    this.openStreams += 1;
    return () => {
      this.openStreams -= 1;
    };
  }

  /** Decides whether the connection of a complete response is to be closed. */
  shouldClose(): boolean {
    const limit = this.response.limitToCloseFor();
    if (limit !== undefined) {
      this.options.metrics.count('entry.closes', 1, { limit });
    }
    return limit !== undefined;
  }

  /** Refusal of a new generation; undefined if the entry has the memory for it. */
  generationRefusal(): relayTypes.Refusal | undefined {
    if (!this.response.mustRefuseGenerations(this.options.timers.now())) {
      return undefined;
    }
    const message = 'this entry is out of memory for new generations';
    const retryAfter = overloadResponse.MEMORY_RETRY_DELAY;
    return { reason: 'overloaded', message, retryAfter, closesConnection: true };
  }

  private sample(): void {
    const { timers, log, metrics, probe } = this.options;
    const now = timers.now();
    const { bytes, openConnections, openStreams } = this;
    this.bytes = 0;
    const residentBytes = probe.residentBytes();
    this.utilization.add({ lag: probe.takeLag(), bytes, openConnections, openStreams, residentBytes }, now);
    const { current } = this.utilization;
    if (this.response.update(current, now)) {
      const [eventLoop, , descriptors, memory] = entryUtilization.encode(current).map(String);
      const limits = this.response.nearLimits.join(' ') || 'none';
      log.info('entryNearLimits', { limits, eventLoop, descriptors, memory });
    }
    this.readers.check();
    this.sampleCount += 1;
    if (this.sampleCount % SAMPLES_PER_METRIC === 0) {
      for (const [resource, share] of Object.entries(current)) {
        if (share !== undefined) {
          metrics.gauge('entry.utilization', Number(share), { resource });
        }
      }
    }
  }
}
