/**
 * Simulates a VM that runs one process, which can be killed, restarted, frozen and thawed. Timers of a killed process
 * never fire; timers that expire while it is frozen fire when it thaws.
 */
import type * as kumquatfront from 'kumquatfront';

/** Simulated host. */
export class Host {
  readonly name: string;
  readonly dataCentre: string;
  private readonly time: kumquatfront.virtualTime.VirtualTime;
  private currentIncarnation = 0;
  private up = false;
  private frozen = false;
  private deferredCalls: (() => void)[] = [];
  private readonly exitListeners: (() => void)[] = [];

  constructor(name: string, dataCentre: string, time: kumquatfront.virtualTime.VirtualTime) {
    this.name = name;
    this.dataCentre = dataCentre;
    this.time = time;
  }

  get isUp(): boolean {
    return this.up;
  }

  get isFrozen(): boolean {
    return this.frozen;
  }

  /** Incarnation of the process; work scheduled by an earlier incarnation is discarded. */
  get incarnation(): number {
    return this.currentIncarnation;
  }

  boot(): void {
    this.currentIncarnation += 1;
    this.up = true;
    this.frozen = false;
    this.deferredCalls = [];
  }

  kill(): void {
    this.up = false;
    this.currentIncarnation += 1;
    this.deferredCalls = [];
    const listeners = this.exitListeners.splice(0);
    for (const listener of listeners) {
      listener();
    }
  }

  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    this.frozen = false;
    const { deferredCalls } = this;
    this.deferredCalls = [];
    for (const run of deferredCalls) {
      run();
    }
  }

  /** Registers a listener that is called once, when the current process is killed. */
  onExit(listener: () => void): void {
    this.exitListeners.push(listener);
  }

  /** Runs a callback in the process: now, once it thaws, or never if that incarnation has ended. */
  runInProcess(incarnation: number, run: () => void): void {
    if (!this.up || incarnation !== this.currentIncarnation) {
      return;
    }
    if (this.frozen) {
      this.deferredCalls.push(() => {
        this.runInProcess(incarnation, run);
      });
      return;
    }
    run();
  }

  /** Creates the scheduler of the current incarnation. */
  scheduler(): kumquatfront.ports.Scheduler {
    const { currentIncarnation } = this;
    return {
      after: (delay, run) =>
        this.time.after(delay, () => {
          this.runInProcess(currentIncarnation, run);
        }),
    };
  }
}
