/**
 * A VM with one process: it can be killed, started again, frozen and thawed. What the process scheduled
 * before it was killed never runs; what falls due while it is frozen runs when it thaws.
 */
import type * as kumquatfront from 'kumquatfront';

/** One host. */
export class Host {
  readonly name: string;
  readonly dataCentre: string;
  private readonly time: kumquatfront.virtualTime.VirtualTime;
  private life = 0;
  private up = false;
  private frozen = false;
  private held: (() => void)[] = [];
  private readonly onDeath: (() => void)[] = [];

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

  /** Number of the present life; work of a former one is dropped. */
  get currentLife(): number {
    return this.life;
  }

  boot(): void {
    this.life += 1;
    this.up = true;
    this.frozen = false;
    this.held = [];
  }

  kill(): void {
    this.up = false;
    this.life += 1;
    this.held = [];
    const listeners = this.onDeath.splice(0);
    for (const listener of listeners) {
      listener();
    }
  }

  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    this.frozen = false;
    const { held } = this;
    this.held = [];
    for (const run of held) {
      run();
    }
  }

  /** Calls back once, when the present life ends. */
  whenDead(listener: () => void): void {
    this.onDeath.push(listener);
  }

  /** Runs something in the process now, when it thaws, or never if its life ended. */
  enter(life: number, run: () => void): void {
    if (!this.up || life !== this.life) {
      return;
    }
    if (this.frozen) {
      this.held.push(() => {
        this.enter(life, run);
      });
      return;
    }
    run();
  }

  /** Timers of the present life. */
  scheduler(): kumquatfront.ports.Scheduler {
    const { life } = this;
    return {
      after: (delay, run) =>
        this.time.after(delay, () => {
          this.enter(life, run);
        }),
    };
  }
}
