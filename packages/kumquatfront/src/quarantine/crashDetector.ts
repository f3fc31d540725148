/**
 * Detects crashes of upstream instances, and which contents ran on them, from the observations of one entry.
 *
 * A broken run alone is no evidence of a crash: the connection may have failed, or the instance may have shut down
 * after a termination notice. A run that broke or timed out idle is therefore kept until the instance is confirmed to
 * have crashed: it refuses connections, has restarted, or has stopped reporting to control. If the instance accepts a
 * connection, its broken runs are discarded.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as relayTypes from '../relay/types.js';
import type * as requestCauses from './requestCauses.js';

/** Delay before a connection check; lets a process that exits close its listening port after its connections. */
const CHECK_DELAY: ports.Milliseconds = 3;

/** Maximum time that an exchange waits for a connection check. A later result is still evaluated. */
const MAXIMUM_CHECK_WAIT: ports.Milliseconds = 60;

/** How long a broken run is kept for confirmation; longer than control takes to drop an instance and notify entries. */
const CONFIRMATION_TIMEOUT: ports.Milliseconds = 8_000;

/** Evidence by which the crash of an instance was confirmed. */
export type CrashEvidence = 'refusesConnections' | 'startedAnew' | 'fellSilent';

/** A confirmed crash of an instance while it ran a content. */
export interface DetectedCrash {
  readonly content: string;
  readonly instance: string;
  readonly sign: CrashEvidence;
  /** Identity of the attempt that ran on the instance. */
  readonly request: string;
  /** Keys of the parts of its prompt. */
  readonly parts: readonly string[];
  /** True if the run had produced an event. */
  readonly hadEvent: boolean;
}

/** The attributes of an upstream instance that a connection check needs. */
export interface CheckedInstance {
  /** Differs after each start of the upstream. */
  readonly identity: string;
  readonly address: string;
}

/** Dependencies and callbacks of the detector. */
export interface CrashDetectorOptions {
  readonly timers: timerService.TimerService;
  /** Tries to connect to an address. */
  readonly check: (address: string, done: (result: relayTypes.ConnectionCheckResult) => void) => void;
  /** Returns true if a termination notice of the instance is known. */
  readonly isTerminating: (identity: string) => boolean;
  readonly onCrash: (crash: DetectedCrash) => void;
  /** Called when the address of an instance refuses connections. */
  readonly onInstanceDown: (instance: string) => void;
}

interface Run {
  readonly causes: requestCauses.RequestCauses;
  readonly request: string;
  readonly hasEvent: boolean;
  /** Time at which the run broke or was aborted as idle; undefined while it runs. */
  readonly brokeAt: ports.Milliseconds | undefined;
}

type CheckDone = (result: relayTypes.ConnectionCheckResult) => void;

/** Wraps a callback so that it runs exactly once: when called, or after `MAXIMUM_CHECK_WAIT`. */
function onceWithTimeout(timers: timerService.TimerService, done: CheckDone): CheckDone {
  let called = false;
  const call: CheckDone = (result) => {
    if (!called) {
      called = true;
      cancel();
      done(result);
    }
  };
  const cancel = timers.after(MAXIMUM_CHECK_WAIT, () => {
    call('unknown');
  });
  return call;
}

/** Detects crashes of upstream instances; see the module comment. */
export class CrashDetector {
  private readonly options: CrashDetectorOptions;
  /** Runs by instance identity, then by run identifier. */
  private readonly runs = new Map<string, Map<number, Run>>();
  /** Callbacks waiting for a pending connection check, by instance identity. */
  private readonly checking = new Map<string, CheckDone[]>();
  private lastRunId = 0;

  constructor(options: CrashDetectorOptions) {
    this.options = options;
  }

  /** Records the start of a run and returns its identifier. */
  runStarted(instance: string, causes: requestCauses.RequestCauses, request: string): number {
    this.lastRunId += 1;
    const runs = this.runs.get(instance) ?? new Map<number, Run>();
    this.runs.set(instance, runs);
    runs.set(this.lastRunId, { causes, request, hasEvent: false, brokeAt: undefined });
    return this.lastRunId;
  }

  /** Records that a run has produced an event. */
  recordEvent(instance: string, runId: number): void {
    const run = this.runs.get(instance)?.get(runId);
    if (run !== undefined) {
      this.runs.get(instance)?.set(runId, { ...run, hasEvent: true });
    }
  }

  /** Records the end of a run that is no evidence of a crash: it was answered or cancelled. */
  runFinished(instance: string, runId: number): void {
    const runs = this.runs.get(instance);
    runs?.delete(runId);
    if (runs?.size === 0) {
      this.runs.delete(instance);
    }
  }

  /**
   * Records that a run broke or was aborted as idle, and checks whether its instance still accepts connections.
   *
   * @param done - called after the check, or synchronously if none is made
   */
  runBroken(instance: CheckedInstance, runId: number, done: CheckDone): void {
    const { identity } = instance;
    const run = this.runs.get(identity)?.get(runId);
    if (run === undefined || this.options.isTerminating(identity)) {
      this.runFinished(identity, runId);
      done('unknown');
      return;
    }
    this.runs.get(identity)?.set(runId, { ...run, brokeAt: this.options.timers.now() });
    this.scheduleCheck(instance, onceWithTimeout(this.options.timers, done));
  }

  /**
   * Records that only the end of its connection ended a run, and checks whether its instance has crashed. An instance that
   * leaves may be gone after its last answer, so it is not checked.
   *
   * @param done - called after the check, or synchronously if none is made
   */
  runEnded(instance: CheckedInstance, runId: number, done: CheckDone): void {
    this.runBroken(instance, runId, (result) => {
      if (result === 'unknown') {
        this.runFinished(instance.identity, runId);
      }
      done(result);
    });
  }

  /** Checks an instance that refused a connection; it may have crashed while no run of this entry was on it. */
  instanceUnreachable(instance: CheckedInstance): void {
    this.scheduleCheck(instance, () => undefined);
  }

  private scheduleCheck(instance: CheckedInstance, done: CheckDone): void {
    const { timers, check } = this.options;
    const { identity } = instance;
    const waiting = this.checking.get(identity);
    if (waiting !== undefined) {
      waiting.push(done);
      return;
    }
    this.checking.set(identity, [done]);
    timers.after(CHECK_DELAY, () => {
      check(instance.address, (result) => {
        const callbacks = this.checking.get(identity) ?? [];
        this.checking.delete(identity);
        if (result === 'refused') {
          this.options.onInstanceDown(identity);
          this.reportCrashes(identity, 'refusesConnections');
        } else if (result === 'accepted') {
          this.discardBrokenRuns(identity);
        }
        for (const callback of callbacks) {
          callback(result);
        }
      });
    });
  }

  /** Handles a change of an instance as published by control. */
  onInstanceChange({ instance, event }: instanceView.InstanceChange): void {
    const { identity, state } = instance;
    if (event === 'replaced') {
      this.reportCrashes(identity, 'startedAnew');
    } else if (event === 'gone' && state === 'ready') {
      this.reportCrashes(identity, 'fellSilent');
    } else if (event === 'gone') {
      this.runs.delete(identity);
    }
  }

  private reportCrashes(instance: string, evidence: CrashEvidence): void {
    const runs = [...(this.runs.get(instance)?.values() ?? [])];
    this.runs.delete(instance);
    const oldest = this.options.timers.now() - CONFIRMATION_TIMEOUT;
    for (const { causes, request, hasEvent: hadEvent, brokeAt } of runs) {
      if (brokeAt === undefined || brokeAt > oldest) {
        const { content, parts } = causes;
        this.options.onCrash({ content, instance, sign: evidence, request, parts, hadEvent });
      }
    }
  }

  private discardBrokenRuns(instance: string): void {
    for (const [runId, { brokeAt }] of this.runs.get(instance) ?? []) {
      if (brokeAt !== undefined) {
        this.runFinished(instance, runId);
      }
    }
  }

  /** Discards broken runs whose crash was not confirmed in time. */
  expire(now: number): void {
    for (const [instance, runs] of this.runs) {
      for (const [runId, { brokeAt }] of runs) {
        if (brokeAt !== undefined && now - brokeAt > CONFIRMATION_TIMEOUT) {
          this.runFinished(instance, runId);
        }
      }
    }
  }
}
