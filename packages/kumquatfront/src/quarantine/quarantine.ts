/**
 * An entry's part in keeping requests that end upstreams away from them: it finds out what ended under what, tells
 * control, takes in what others found out, and gates everything that is sent.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as relayTypes from '../relay/types.js';
import * as caseReporter from './caseReporter.js';
import * as contentDigest from './contentDigest.js';
import * as crashDetector from './crashDetector.js';
import * as crashLedger from './crashLedger.js';
import * as guardedUpstreams from './guardedUpstreams.js';
import type * as types from './types.js';

/** How often what has run out is let go. */
const EXPIRY_INTERVAL: ports.Milliseconds = 1_000;

/** What the part is made from. */
export interface QuarantineOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly upstreams: relayTypes.UpstreamPort;
  readonly hasGivenNotice: (identity: string) => boolean;
  readonly replicas: () => readonly string[];
}

/** The part; see the module comment. */
export class Quarantine {
  /** Upstreams behind the gate; everything that an entry sends to upstreams goes through it. */
  readonly upstreams: relayTypes.UpstreamPort;
  private readonly options: QuarantineOptions;
  private readonly ledger: crashLedger.CrashLedger;
  private readonly detector: crashDetector.CrashDetector;
  private readonly reporter: caseReporter.CaseReporter;
  private readonly listeners = new Map<string, Set<() => void>>();

  constructor(options: QuarantineOptions) {
    this.options = options;
    const { timers, peers, upstreams, hasGivenNotice, replicas } = options;
    this.ledger = new crashLedger.CrashLedger((change) => {
      this.onVerdictChange(change);
    });
    this.detector = new crashDetector.CrashDetector({
      timers,
      check: upstreams.check,
      hasGivenNotice,
      onCrash: (crash) => {
        this.onCrash(crash);
      },
    });
    this.reporter = new caseReporter.CaseReporter({
      timers,
      peers,
      replicas,
      caseOf: (content) => this.ledger.caseOf(content, timers.now()),
    });
    this.upstreams = guardedUpstreams.create({
      upstreams,
      timers,
      detector: this.detector,
      verdictOf: (content) => this.ledger.verdictOf(content),
      onAnswered: (content) => {
        this.onAnswered(content);
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

  /** What is held against the content of a request. */
  verdictOf(request: relayTypes.TrafficRequest, account: string): types.Verdict {
    return this.ledger.verdictOf(contentDigest.of(request, account));
  }

  /** Facts of a content's case for the log: its digest, and the instances that ended under it. */
  describe(request: relayTypes.TrafficRequest, account: string): ports.LogFields {
    const content = contentDigest.of(request, account);
    return {
      content,
      ended: this.ledger.instancesOf(content).join(' '),
      timeLeft: Math.round(this.ledger.timeLeft(content, this.options.timers.now())),
    };
  }

  /** Calls back once the content of a request is quarantined, until it is cancelled. */
  whenQuarantined(request: relayTypes.TrafficRequest, account: string, run: () => void): ports.Cancel {
    const content = contentDigest.of(request, account);
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

  /** Called with news of an instance. */
  onInstance(change: instanceView.InstanceChange): void {
    this.detector.onInstance(change);
  }

  /** Takes in what a control replica knows. */
  take(cases: readonly types.CaseRecord[]): void {
    for (const record of cases) {
      this.ledger.merge(record, this.options.timers.now());
    }
  }

  /** A replica has started, and knows only what the disks of control kept. */
  onReplicaStarted(address: string): void {
    const { cases } = this.ledger.newsSince(0, this.options.timers.now());
    if (cases.length > 0) {
      this.reporter.tell(
        address,
        cases.map(({ content }) => content),
      );
    }
  }

  private onCrash({ content, instance, sign, request }: crashDetector.DetectedCrash): void {
    const { timers, log, metrics } = this.options;
    if (!this.ledger.hold(content, instance, timers.now())) {
      return;
    }
    log.warn('crashHeld', {
      request,
      content,
      upstream: instance,
      sign,
      ends: this.ledger.instancesOf(content).length,
      verdict: this.ledger.verdictOf(content),
    });
    metrics.count('quarantine.crashes', 1, { sign });
    this.reporter.tellAll([content]);
  }

  private onAnswered(content: string): void {
    if (this.ledger.answered(content, this.options.timers.now())) {
      this.options.log.info('crashesVoid', { content, cause: 'answered' });
      this.reporter.tellAll([content]);
    }
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
