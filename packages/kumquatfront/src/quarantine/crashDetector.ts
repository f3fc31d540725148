/**
 * Finds out which upstream instances have ended, and what ran on them then, from what one entry sees.
 *
 * A run that breaks off says little: an answer may be lost, a connection reset, a link cut, and an instance that gave
 * notice ends with whatever is left on it. So a run that broke off, or was given up for its silence, only waits here;
 * it is held against its content once the instance is known to have ended without notice: nothing listens at its
 * address any more, it has started anew, or it has fallen silent towards control. An instance that accepts a
 * connection lives, and the matter is dropped.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as relayTypes from '../relay/types.js';

/** A process that dies closes its connections and its port in the same moment; this lets both be done. */
const CHECK_AFTER: ports.Milliseconds = 3;

/**
 * Whoever waits for a check waits this long at most: several round trips within a region. A check that takes longer
 * meets a cut, and what comes of it counts all the same.
 */
const WAITED_FOR: ports.Milliseconds = 60;

/**
 * A broken run waits this long for a sign: control drops an instance after five seconds of silence, and tells entries
 * within one; an announcement may have been on its way when the instance ended.
 */
const WAITS_FOR_SIGN: ports.Milliseconds = 8_000;

/** How it became known that an instance has ended. */
export type EndSign = 'refusesConnections' | 'startedAnew' | 'fellSilent';

/** The end of an instance under a content. */
export interface DetectedCrash {
  readonly content: string;
  readonly instance: string;
  readonly sign: EndSign;
  /** Identity of the attempt that ran there. */
  readonly request: string;
}

/** An upstream as far as the detector needs it. */
export interface CheckedInstance {
  /** New at each start of the upstream. */
  readonly identity: string;
  readonly address: string;
}

/** What the detector is made from. */
export interface CrashDetectorOptions {
  readonly timers: timerService.TimerService;
  readonly check: (address: string, done: (sign: relayTypes.ConnectionSign) => void) => void;
  /** True where an instance is known to have given notice. */
  readonly hasGivenNotice: (identity: string) => boolean;
  readonly onCrash: (crash: DetectedCrash) => void;
  /** Nothing listens at an instance's address any more. */
  readonly onEnded: (instance: string) => void;
}

interface Run {
  readonly content: string;
  readonly request: string;
  /** When it broke off or was given up; undefined while it runs. */
  readonly brokeAt: ports.Milliseconds | undefined;
}

/** Calls back once, after the longest time that anybody waits for a check at the latest. */
function once(timers: timerService.TimerService, done: () => void): () => void {
  let called = false;
  const call = (): void => {
    if (!called) {
      called = true;
      cancel();
      done();
    }
  };
  const cancel = timers.after(WAITED_FOR, call);
  return call;
}

/** The detector; see the module comment. */
export class CrashDetector {
  private readonly options: CrashDetectorOptions;
  /** By instance, then by a number of the run. */
  private readonly runs = new Map<string, Map<number, Run>>();
  /** Instances that are being checked, with those who wait for it. */
  private readonly checking = new Map<string, (() => void)[]>();
  private started = 0;

  constructor(options: CrashDetectorOptions) {
    this.options = options;
  }

  /** Notes that a run begins; the number stands for it. */
  begun(instance: string, content: string, request: string): number {
    this.started += 1;
    const runs = this.runs.get(instance) ?? new Map<number, Run>();
    this.runs.set(instance, runs);
    runs.set(this.started, { content, request, brokeAt: undefined });
    return this.started;
  }

  /** Notes that a run has ended in a way that says nothing against its content: answered, or cancelled. */
  ended(instance: string, run: number): void {
    const runs = this.runs.get(instance);
    runs?.delete(run);
    if (runs?.size === 0) {
      this.runs.delete(instance);
    }
  }

  /**
   * Notes that a run broke off, or was given up for its silence, and looks whether its instance lives.
   *
   * @param done - called once that is known, or at once where it need not be asked
   */
  broke(instance: CheckedInstance, run: number, done: () => void): void {
    const { identity } = instance;
    const known = this.runs.get(identity)?.get(run);
    if (known === undefined || this.options.hasGivenNotice(identity)) {
      this.ended(identity, run);
      done();
      return;
    }
    this.runs.get(identity)?.set(run, { ...known, brokeAt: this.options.timers.now() });
    this.checkSoon(instance, once(this.options.timers, done));
  }

  /** Looks whether an instance lives that could not be reached: it may have ended while nothing ran there. */
  unreachable(instance: CheckedInstance): void {
    this.checkSoon(instance, () => undefined);
  }

  private checkSoon(instance: CheckedInstance, done: () => void): void {
    const { timers, check } = this.options;
    const { identity } = instance;
    const waiting = this.checking.get(identity);
    if (waiting !== undefined) {
      waiting.push(done);
      return;
    }
    this.checking.set(identity, [done]);
    timers.after(CHECK_AFTER, () => {
      check(instance.address, (sign) => {
        const told = this.checking.get(identity) ?? [];
        this.checking.delete(identity);
        if (sign === 'refused') {
          this.options.onEnded(identity);
          this.confirm(identity, 'refusesConnections');
        } else if (sign === 'accepted') {
          this.dropBroken(identity);
        }
        for (const tell of told) {
          tell();
        }
      });
    });
  }

  /** Called with news of an instance. */
  onInstance({ instance, event }: instanceView.InstanceChange): void {
    const { identity, state } = instance;
    if (event === 'replaced') {
      this.confirm(identity, 'startedAnew');
    } else if (event === 'gone' && state === 'ready') {
      this.confirm(identity, 'fellSilent');
    } else if (event === 'gone') {
      this.runs.delete(identity);
    }
  }

  private confirm(instance: string, sign: EndSign): void {
    const runs = [...(this.runs.get(instance)?.values() ?? [])];
    this.runs.delete(instance);
    const oldest = this.options.timers.now() - WAITS_FOR_SIGN;
    for (const { content, request, brokeAt } of runs) {
      if (brokeAt === undefined || brokeAt > oldest) {
        this.options.onCrash({ content, instance, sign, request });
      }
    }
  }

  private dropBroken(instance: string): void {
    for (const [run, { brokeAt }] of this.runs.get(instance) ?? []) {
      if (brokeAt !== undefined) {
        this.ended(instance, run);
      }
    }
  }

  /** Drops what has waited for its sign in vain. */
  expire(now: number): void {
    for (const [instance, runs] of this.runs) {
      for (const [run, { brokeAt }] of runs) {
        if (brokeAt !== undefined && now - brokeAt > WAITS_FOR_SIGN) {
          this.ended(instance, run);
        }
      }
    }
  }
}
