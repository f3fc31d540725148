/**
 * An entry's part in keeping requests that end upstreams away from them: it finds out what ended under what, has others
 * told, takes in what they found out, and answers what may be sent. How entries tell each other is up to the node.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as crashDetector from './crashDetector.js';
import * as crashLedger from './crashLedger.js';
import type * as types from './types.js';

/** What callers are told. */
export const QUARANTINED =
  'upstreams ended under this content, one after another; sending it again will not help';

/** How often what has run out is let go. */
const EXPIRY_INTERVAL: ports.Milliseconds = 1_000;

/** What the part is made from. */
export interface QuarantineOptions extends Omit<crashDetector.CrashDetectorOptions, 'onCrash'> {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** Has others told what is held against a content. */
  readonly tell: (content: string) => void;
}

/** The part; see the module comment. */
export class Quarantine {
  /** To be told how every run on an upstream begins and ends. */
  readonly detector: crashDetector.CrashDetector;
  private readonly options: QuarantineOptions;
  private readonly ledger: crashLedger.CrashLedger;
  private readonly listeners = new Map<string, Set<() => void>>();

  constructor(options: QuarantineOptions) {
    this.options = options;
    const { timers } = options;
    this.ledger = new crashLedger.CrashLedger((change) => {
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
        this.ledger.expire(timers.now());
        this.detector.expire(timers.now());
      },
    );
  }

  /** What is held against a content. */
  verdictOf(content: string): types.Verdict {
    return this.ledger.verdictOf(content);
  }

  /** Facts of a content for the log: its digest, the instances that ended under it, and how long it is held. */
  describe(content: string): ports.LogFields {
    return {
      content,
      ended: this.ledger.instancesOf(content).join(' '),
      timeLeft: Math.round(this.ledger.timeLeft(content, this.options.timers.now())),
    };
  }

  /** Calls back once a content is quarantined, until it is cancelled. */
  whenQuarantined(content: string, run: () => void): ports.Cancel {
    const listeners = this.listeners.get(content) ?? new Set();
    this.listeners.set(content, listeners);
    listeners.add(run);
    return () => {
      listeners.delete(run);
      if (listeners.size === 0 && this.listeners.get(content) === listeners) {
        this.listeners.delete(content);
      }
    };
  }

  /** Notes that an upstream has answered a content in whole. */
  answered(content: string): void {
    if (this.ledger.answered(content, this.options.timers.now())) {
      this.options.log.info('crashesVoid', { content, cause: 'answered' });
      this.options.tell(content);
    }
  }

  /** Takes in what others know. */
  take(cases: readonly types.CaseRecord[]): void {
    for (const record of cases) {
      this.ledger.merge(record, this.options.timers.now());
    }
  }

  /** Everything that is held against a content; undefined where nothing is. */
  caseOf(content: string): types.CaseRecord | undefined {
    return this.ledger.caseOf(content, this.options.timers.now());
  }

  /** Contents against which anything is held. */
  contents(): readonly string[] {
    return this.ledger.newsSince(0, this.options.timers.now()).cases.map(({ content }) => content);
  }

  /** Contents that are quarantined. */
  get quarantined(): readonly string[] {
    return this.ledger.quarantined;
  }

  private onCrash({ content, instance, sign, request }: crashDetector.DetectedCrash): void {
    const { timers, log, metrics, tell } = this.options;
    if (!this.ledger.hold(content, instance, timers.now())) {
      return;
    }
    log.info('crashHeld', {
      request,
      content,
      upstream: instance,
      sign,
      ends: this.ledger.instancesOf(content).length,
      verdict: this.ledger.verdictOf(content),
    });
    metrics.count('quarantine.crashes', 1, { sign });
    tell(content);
  }

  private onVerdictChange({ content, change, instances }: crashLedger.VerdictChange): void {
    const { log, metrics } = this.options;
    metrics.gauge('quarantine.contents', this.ledger.quarantined.length);
    if (change !== 'quarantined') {
      log.warn('quarantineLifted', { content, cause: change });
      metrics.count('quarantine.lifted', 1, { cause: change });
      return;
    }
    log.warn('quarantined', { content, ended: instances.join(' ') });
    for (const run of [...(this.listeners.get(content) ?? [])]) {
      run();
    }
  }
}
