/**
 * Whether an entry must stop acting on its configuration, because a newer one was acknowledged too long ago.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as acceptedVersions from './acceptedVersions.js';

/**
 * Time without an answer of any replica after which an entry counts as partitioned from control; it then serves on with
 * the configuration that it has.
 */
const CONTACT_TIMEOUT: ports.Milliseconds = 3_000;

/** Interval at which an entry whose configuration is superseded checks whether it has lost control. */
const CHECK_INTERVAL: ports.Milliseconds = 100;

/** Settings, dependencies and callbacks of {@link SupersededCheck}. */
export interface SupersededCheckOptions {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  /** Time from the acknowledgement of a configuration within which no entry acts on an older one. */
  readonly inForceWithin: ports.Milliseconds;
  /** Called when {@link SupersededCheck.isSuperseded} has changed. */
  readonly onSupersededChanged: () => void;
}

/** See the module comment. */
export class SupersededCheck {
  private readonly options: SupersededCheckOptions;
  private readonly accepted: acceptedVersions.AcceptedVersions;
  private version = 0;
  private wasSuperseded = false;
  private lastAnswerAt = Number.NEGATIVE_INFINITY;
  private cancelCheck: ports.Cancel = () => undefined;

  constructor(options: SupersededCheckOptions) {
    this.options = options;
    this.accepted = new acceptedVersions.AcceptedVersions(options.inForceWithin);
  }

  /** False while the entry is partitioned from control. */
  get isSuperseded(): boolean {
    const now = this.options.timers.now();
    return now >= this.accepted.deadline && now - this.lastAnswerAt < CONTACT_TIMEOUT;
  }

  /** Records the answer of a replica that has applied a version some time ago. */
  onAnswer(version: number, age: ports.Milliseconds): void {
    const now = this.options.timers.now();
    this.lastAnswerAt = now;
    if (version > this.version) {
      this.accepted.record(version, age, now);
      this.check();
    }
  }

  /** Records that a version is in force at the entry. */
  onInForce(version: number): void {
    this.version = version;
    this.accepted.onInForce(version);
    this.check();
  }

  /** Reports a change, and checks again when there may be another one. */
  private check(): void {
    const { timers, log, onSupersededChanged } = this.options;
    const { isSuperseded } = this;
    if (isSuperseded !== this.wasSuperseded) {
      this.wasSuperseded = isSuperseded;
      log.warn('configurationSuperseded', { version: this.version, superseded: isSuperseded });
      onSupersededChanged();
    }
    this.cancelCheck();
    const { deadline } = this.accepted;
    if (Number.isFinite(deadline)) {
      this.cancelCheck = timers.after(Math.max(CHECK_INTERVAL, deadline - timers.now()), () => {
        this.check();
      });
    }
  }
}
