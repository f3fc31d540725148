/**
 * Quarantine of an entry for requests that crash their upstreams: detects crashes, reports them, merges the crash
 * records of other processes, and decides which contents may be sent. The node provides the transport of reports.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as crashDetector from './crashDetector.js';
import * as crashRecordStore from './crashRecordStore.js';
import type * as types from './types.js';

/** Error message for callers whose request is quarantined. */
export const QUARANTINED_MESSAGE =
  'several upstreams crashed while running this request; retrying it will not help';

const EXPIRY_INTERVAL: ports.Milliseconds = 1_000;

/** Dependencies and callbacks of the quarantine. */
export interface QuarantineOptions extends Omit<crashDetector.CrashDetectorOptions, 'onCrash'> {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** Reports the changed crash record of a content to other processes. */
  readonly report: (content: string) => void;
}

/** Tracks crashes and quarantined contents of an entry; see the module comment. */
export class Quarantine {
  /** Must be notified of the start and end of every run on an upstream. */
  readonly detector: crashDetector.CrashDetector;
  private readonly options: QuarantineOptions;
  private readonly store: crashRecordStore.CrashRecordStore;
  private readonly listeners = new Map<string, Set<() => void>>();

  constructor(options: QuarantineOptions) {
    this.options = options;
    const { timers } = options;
    this.store = new crashRecordStore.CrashRecordStore((change) => {
      this.onVerdictChange(change);
    });
    this.detector = new crashDetector.CrashDetector({
      ...options,
      onCrash: (crash) => {
        this.onCrash(crash);
      },
    });
    timers.every(
      () => EXPIRY_INTERVAL,
      () => {
        this.store.expire(timers.now());
        this.detector.expire(timers.now());
      },
    );
  }

  /** Verdict on a content from all crash records known to this entry. */
  verdictOf(content: string): types.Verdict {
    return this.store.verdictOf(content);
  }

  /** Log fields of a content: digest, crashed instances and remaining time of its quarantine. */
  logFieldsOf(content: string): ports.LogFields {
    return {
      content,
      ended: this.store.instancesOf(content).join(' '),
      timeLeft: Math.round(this.store.timeLeft(content, this.options.timers.now())),
    };
  }

  /** Registers a callback for the quarantine of a content; the returned function unregisters it. */
  onQuarantined(content: string, callback: () => void): ports.Cancel {
    const listeners = this.listeners.get(content) ?? new Set();
    this.listeners.set(content, listeners);
    listeners.add(callback);
    return () => {
      listeners.delete(callback);
      if (listeners.size === 0 && this.listeners.get(content) === listeners) {
        this.listeners.delete(content);
      }
    };
  }

  /** Records a complete answer to a content, which voids its earlier crashes. */
  recordAnswer(content: string): void {
    if (this.store.recordAnswer(content, this.options.timers.now())) {
      this.options.log.info('crashesVoid', { content, cause: 'answered' });
      this.options.report(content);
    }
  }

  /** Merges crash records from other processes. */
  mergeRecords(records: readonly types.CrashRecord[]): void {
    for (const record of records) {
      this.store.merge(record, this.options.timers.now());
    }
  }

  /** The crash record of a content; undefined if there is none. */
  recordOf(content: string): types.CrashRecord | undefined {
    return this.store.recordOf(content, this.options.timers.now());
  }

  /** Contents that have a crash record. */
  trackedContents(): readonly string[] {
    return this.store.updatesSince(0, this.options.timers.now()).cases.map(({ content }) => content);
  }

  /** Contents that are currently quarantined. */
  get quarantined(): readonly string[] {
    return this.store.quarantined;
  }

  private onCrash({ content, instance, sign, request, parts, hadEvent }: crashDetector.DetectedCrash): void {
    const { timers, log, metrics, report } = this.options;
    if (!this.store.recordCrash(content, instance, timers.now())) {
      return;
    }
    log.info('crashHeld', {
      request,
      content,
      upstream: instance,
      sign,
      ends: this.store.instancesOf(content).length,
      verdict: this.store.verdictOf(content),
      ...(parts.length > 0 && { parts: parts.join(' '), hadEvent }),
    });
    metrics.count('quarantine.crashes', 1, { sign });
    report(content);
  }

  private onVerdictChange({ content, change, instances }: crashRecordStore.VerdictChange): void {
    const { log, metrics } = this.options;
    metrics.gauge('quarantine.contents', this.store.quarantined.length);
    if (change !== 'quarantined') {
      log.warn('quarantineLifted', { content, cause: change });
      metrics.count('quarantine.lifted', 1, { cause: change });
      return;
    }
    log.warn('quarantined', { content, ended: instances.join(' ') });
    for (const callback of [...(this.listeners.get(content) ?? [])]) {
      callback();
    }
  }
}
