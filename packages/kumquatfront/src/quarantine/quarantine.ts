/**
 * Quarantine of an entry for requests that crash their upstreams: detects crashes, reports them, merges the crash
 * records of other processes, and decides which requests may be sent. The cause may be the whole content of a request or
 * a part of its prompt. The node provides the transport of reports.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as crashDetector from './crashDetector.js';
import * as crashRecordStore from './crashRecordStore.js';
import type * as partVerdicts from './partVerdicts.js';
import type * as requestCauses from './requestCauses.js';
import * as trials from './trials.js';
import * as types from './types.js';

/** Error message for callers whose request is quarantined. */
export const QUARANTINED_MESSAGE =
  'several upstreams crashed while running this request; retrying it will not help';

/** Error message for callers whose request may have the part that crashes upstreams. */
const TRIAL_MESSAGE =
  'several upstreams crashed while running requests with a part of this prompt; such requests are tried one at a time';

/** Delay before a retry of a request that waits for the trial of another; longer than most answers take to begin. */
const TRIAL_RETRY_DELAY: ports.Milliseconds = 1_000;

/** Time in which all entries make about one trial: of a part on trial, and of one in quarantine. */
const TRIAL_INTERVAL: ports.Milliseconds = 1_000;
const QUARANTINE_TRIAL_INTERVAL: ports.Milliseconds = 2_000;

/** Parts of prompts whose last event is remembered. */
const MAXIMUM_RECENT_PARTS = 2_000;

const EXPIRY_INTERVAL: ports.Milliseconds = 1_000;

/** Dependencies and callbacks of the quarantine. */
export interface QuarantineOptions extends Omit<crashDetector.CrashDetectorOptions, 'onCrash'> {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly random: ports.Random;
  /** Number of running entries, which share the trials. */
  readonly entryCount: () => number;
  /** Reports the changed crash records of causes to other processes. */
  readonly report: (causes: readonly string[]) => void;
}

interface Listener {
  readonly causes: requestCauses.RequestCauses;
  readonly callback: () => void;
}

/** Tracks crashes and quarantined requests of an entry; see the module comment. */
export class Quarantine {
  /** Must be notified of the start and end of every run on an upstream. */
  readonly detector: crashDetector.CrashDetector;
  private readonly options: QuarantineOptions;
  private readonly store: crashRecordStore.CrashRecordStore;
  private readonly trials: trials.Trials;
  /** Times of the last first events, by part of the prompt; oldest first. */
  private readonly harmlessAt = new Map<string, ports.Milliseconds>();
  /** Requests in progress, by content. */
  private readonly listeners = new Map<string, Set<Listener>>();
  /** Verdicts on parts that listeners were last told of. */
  private announcedVerdicts: ReadonlyMap<string, partVerdicts.PartVerdict> = new Map();

  constructor(options: QuarantineOptions) {
    this.options = options;
    const { timers, random, entryCount } = options;
    this.trials = new trials.Trials({ now: () => timers.now(), random, entryCount });
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

  /** Verdict on a request from all crash records known to this entry. */
  verdictOf({ content, parts }: requestCauses.RequestCauses): types.Verdict {
    const contentVerdict = this.store.verdictOf(content);
    if (contentVerdict === 'quarantined' || this.store.isEmpty) {
      return contentVerdict;
    }
    const partState = this.partStateOf(parts);
    if (partState !== undefined) {
      return partState;
    }
    const isSuspected = parts.some((part) => this.store.instancesOf(part).length > 0);
    return isSuspected ? 'suspected' : contentVerdict;
  }

  private partStateOf(parts: readonly string[]): partVerdicts.PartState | undefined {
    const { partVerdicts: verdicts } = this.store;
    let state: partVerdicts.PartState | undefined;
    for (const part of verdicts.size === 0 ? [] : parts) {
      const verdict = verdicts.get(part);
      if (verdict === undefined) {
        continue;
      }
      const hasCompanions = verdict.companions.every((companion) => parts.includes(companion));
      if (verdict.state === 'quarantined' && hasCompanions) {
        return 'quarantined';
      }
      state = 'trial';
    }
    return state;
  }

  /**
   * Decides whether a request may be sent: if its verdict allows it, or as a trial, once.
   *
   * @param request - identifies the request when it is sent
   */
  admit(request: object, causes: requestCauses.RequestCauses): boolean {
    const verdict = this.verdictOf(causes);
    if (types.allowsSending(verdict)) {
      return true;
    }
    const held = causes.parts.filter((part) => this.store.partVerdicts.has(part));
    const isDue = held.every((part) => {
      const verdictOfPart = this.store.partVerdicts.get(part);
      return verdict === 'trial' || (verdictOfPart?.nextTrialAt ?? 0) <= this.options.timers.now();
    });
    if (this.store.verdictOf(causes.content) === 'quarantined' || !isDue) {
      return false;
    }
    const interval = verdict === 'trial' ? TRIAL_INTERVAL : QUARANTINE_TRIAL_INTERVAL;
    const isGranted = this.trials.start(request, held.join(' '), interval);
    if (isGranted) {
      this.options.log.info('quarantineTrial', { parts: held.join(' '), verdict });
      this.options.metrics.count('quarantine.trials');
    }
    return isGranted;
  }

  /** True if a request may be sent to an upstream now. */
  maySend(request: object, causes: requestCauses.RequestCauses): boolean {
    return types.allowsSending(this.verdictOf(causes)) || this.trials.has(request);
  }

  /** Records that a request is sent, which uses up its trial. */
  recordSent(request: object): void {
    this.trials.end(request);
  }

  /** What a caller is told whose request is not sent; a retry helps only while single requests are tried. */
  explanationFor(causes: requestCauses.RequestCauses): {
    readonly message: string;
    readonly retryAfter?: ports.Milliseconds;
  } {
    return this.verdictOf(causes) === 'trial'
      ? { message: TRIAL_MESSAGE, retryAfter: TRIAL_RETRY_DELAY }
      : { message: QUARANTINED_MESSAGE };
  }

  /** True unless the whole content of a request is quarantined. */
  isContentAllowed({ content }: requestCauses.RequestCauses): boolean {
    return this.store.verdictOf(content) !== 'quarantined';
  }

  /** Log fields of a request: its causes with crash records, crashed instances and remaining time of its quarantine. */
  logFieldsOf({ content, parts }: requestCauses.RequestCauses): ports.LogFields {
    const held = parts.filter((part) => this.store.partVerdicts.has(part));
    const cause = this.store.verdictOf(content) === 'quarantined' ? content : (held[0] ?? content);
    return {
      content,
      ...(held.length > 0 && { parts: held.join(' ') }),
      ended: this.store.instancesOf(cause).join(' '),
      timeLeft: Math.round(this.store.timeLeft(cause, this.options.timers.now())),
    };
  }

  /** Registers a callback for the quarantine of a request; the returned function unregisters it. */
  onQuarantined(causes: requestCauses.RequestCauses, callback: () => void): ports.Cancel {
    const { content } = causes;
    const listener: Listener = { causes, callback };
    const listeners = this.listeners.get(content) ?? new Set();
    this.listeners.set(content, listeners);
    listeners.add(listener);
    return () => {
      listeners.delete(listener);
      if (listeners.size === 0 && this.listeners.get(content) === listeners) {
        this.listeners.delete(content);
      }
    };
  }

  /** Records a complete answer to a content, which voids its earlier crashes. */
  recordAnswer(content: string): void {
    this.voidCrashes([content], 'answered');
  }

  /** Records an event of an answer, which voids the earlier crashes of the parts of its prompt. */
  recordEvent({ parts }: requestCauses.RequestCauses, isFirst: boolean): void {
    if (isFirst) {
      this.rememberHarmless(parts);
    }
    if (!this.store.isEmpty) {
      this.voidCrashes(parts, 'event');
    }
  }

  private rememberHarmless(parts: readonly string[]): void {
    for (const part of parts) {
      this.harmlessAt.delete(part);
      this.harmlessAt.set(part, this.options.timers.now());
    }
    for (const oldest of this.harmlessAt.keys()) {
      if (this.harmlessAt.size <= MAXIMUM_RECENT_PARTS) {
        return;
      }
      this.harmlessAt.delete(oldest);
    }
  }

  /** Adds to the records of parts when this entry last saw them harmless; returns those that changed. */
  private addHarmlessTimes(parts: readonly string[]): readonly string[] {
    return parts.filter((part) => {
      const at = this.harmlessAt.get(part);
      return at !== undefined && this.store.recordHarmlessAt(part, at, this.options.timers.now());
    });
  }

  private voidCrashes(causes: readonly string[], cause: 'answered' | 'event'): void {
    const { timers, log, report } = this.options;
    const cleared = causes.filter((content) => this.store.recordAnswer(content, timers.now()));
    for (const content of cleared) {
      log.info('crashesVoid', { content, cause });
    }
    if (cleared.length > 0) {
      report(cleared);
      this.announceVerdicts();
    }
  }

  /** Merges crash records from other processes; returns the causes whose records changed. */
  mergeRecords(records: readonly types.CrashRecord[]): readonly string[] {
    const now = this.options.timers.now();
    const changed = records.filter((record) => this.store.merge(record, now)).map(({ content }) => content);
    const dated = this.addHarmlessTimes(changed);
    if (dated.length > 0) {
      this.options.report(dated);
    }
    this.announceVerdicts();
    return changed;
  }

  /** The crash record of a cause; undefined if there is none. */
  recordOf(cause: string): types.CrashRecord | undefined {
    return this.store.recordOf(cause, this.options.timers.now());
  }

  /** Causes that have a crash record. */
  trackedCauses(): readonly string[] {
    return this.store.updatesSince(0, this.options.timers.now()).cases.map(({ content }) => content);
  }

  /** Causes that are currently quarantined. */
  get quarantined(): readonly string[] {
    return this.store.quarantined;
  }

  private onCrash(crash: crashDetector.DetectedCrash): void {
    const { content, instance, sign, request, hadEvent } = crash;
    const { timers, log, metrics, report } = this.options;
    const now = timers.now();
    const changed = this.store.recordCrash(content, instance, now) ? [content] : [];
    // The loss of a VM, or of contact with it, tells nothing of the prompts that ran there.
    if (!hadEvent && sign !== 'fellSilent') {
      changed.push(...crash.parts.filter((part) => this.store.recordCrash(part, instance, now, content)));
      this.addHarmlessTimes(crash.parts);
    }
    if (changed.length === 0) {
      return;
    }
    log.info('crashHeld', {
      request,
      content,
      upstream: instance,
      sign,
      ends: this.store.instancesOf(content).length,
      verdict: this.verdictOf({ content, parts: crash.parts }),
      ...(crash.parts.length > 0 && { parts: crash.parts.join(' '), hadEvent }),
    });
    metrics.count('quarantine.crashes', 1, { sign });
    report(changed);
    this.announceVerdicts();
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
    for (const { callback } of [...(this.listeners.get(content) ?? [])]) {
      callback();
    }
  }

  /** Tells requests in progress of changed verdicts on parts of prompts. */
  private announceVerdicts(): void {
    const { partVerdicts: verdicts } = this.store;
    if (verdicts === this.announcedVerdicts) {
      return;
    }
    const added = [...verdicts].filter(
      ([part, { state }]) => state === 'quarantined' && this.announcedVerdicts.get(part)?.state !== state,
    );
    this.announcedVerdicts = verdicts;
    for (const [part] of added) {
      this.options.log.warn('partQuarantined', { part, ended: this.store.instancesOf(part).join(' ') });
      for (const { causes, callback } of [...this.listeners.values()].flatMap((set) => [...set])) {
        if (causes.parts.includes(part) && this.verdictOf(causes) === 'quarantined') {
          callback();
        }
      }
    }
  }
}
