/**
 * Orders on a data centre while the control processes that get them first stand still. The operator sends an order without
 * an answer to another process, and goes on with the next one; the first copy is read late.
 */
import type * as kumquatfront from 'kumquatfront';

import * as clients from './clients.js';
import type * as evacuationCheck from './evacuationCheck.js';
import type * as invariantChecker from './invariantChecker.js';
import * as sleep from './sleep.js';
import type * as stubInstance from './stubInstance.js';
import type * as supervisedProcess from './supervisedProcess.js';

/** Data centre that is evacuated and restored; another one than that of the evacuation check. */
const DATA_CENTRE = 'b';

/** Time after which the operator sends an order to another process. */
const PATIENCE_MS = 1_000;
/** Time after which it gives an order up. */
const ORDER_LIMIT_MS = 4_000;
const FIRST_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 1_000;

/** Longest time for which a process stands still. */
const MAXIMUM_PAUSE_MS = 3_500;
const MAXIMUM_PAUSE_BETWEEN_ORDERS_MS = 700;

/** Time within which all entries apply an order. */
const SETTLE_MS = 4_000;
/** Time during which no request may reach an evacuated data centre. */
const OBSERVATION_MS = 1_000;

type Action = 'begin' | 'finish';

/** Dependencies of {@link LateOrders}. */
export interface LateOrdersOptions {
  readonly control: readonly supervisedProcess.SupervisedProcess[];
  readonly operatorPort: number;
  readonly instances: readonly stubInstance.StubInstance[];
  readonly checker: invariantChecker.InvariantChecker;
  readonly random: kumquatfront.ports.Random;
  readonly waitUntil: evacuationCheck.WaitUntil;
}

/** Orders a data centre back and forth; see the module comment. */
export class LateOrders {
  private readonly options: LateOrdersOptions;
  private stopped = false;

  constructor(options: LateOrdersOptions) {
    this.options = options;
  }

  /** Orders at random until it is stopped; resolves after the last order. */
  async run(): Promise<void> {
    const { random } = this.options;
    while (!this.stopped) {
      await this.orderAtPausedProcess(random.next() < 0.5 ? 'begin' : 'finish');
      await sleep.forMilliseconds(random.next() * MAXIMUM_PAUSE_BETWEEN_ORDERS_MS);
    }
  }

  stop(): void {
    this.stopped = true;
  }

  /**
   * Has one order of each kind read late, and checks that the last one that was acknowledged holds; called after the fault
   * phase. Restores the data centre in the end.
   */
  async check(): Promise<void> {
    const { checker, random, waitUntil } = this.options;
    const actions: readonly Action[] = random.next() < 0.5 ? ['begin', 'finish'] : ['finish', 'begin'];
    for (const last of actions) {
      const late = last === 'begin' ? 'finish' : 'begin';
      await this.orderUntilAcknowledged(last);
      await this.orderAtPausedProcess(late, PATIENCE_MS + ORDER_LIMIT_MS);
      await this.orderUntilAcknowledged(last);
      await sleep.forMilliseconds(MAXIMUM_PAUSE_MS + SETTLE_MS);
      const before = this.countArrivals();
      await sleep.forMilliseconds(OBSERVATION_MS);
      if (last === 'begin' && this.countArrivals() > before) {
        checker.violations.push('a late restoration undid the evacuation after it');
      }
      const hasArrivals = (): Promise<boolean> => Promise.resolve(this.countArrivals() > before);
      if (last === 'finish' && !(await waitUntil(hasArrivals))) {
        checker.violations.push('a late evacuation undid the restoration after it');
      }
    }
    await this.orderUntilAcknowledged('finish');
  }

  private countArrivals(): number {
    return this.options.instances
      .filter((instance) => instance.dataCentre === DATA_CENTRE)
      .reduce((sum, instance) => sum + instance.arrivals, 0);
  }

  private async orderUntilAcknowledged(action: Action): Promise<void> {
    const { checker, waitUntil, random, control } = this.options;
    const first = Math.floor(random.next() * control.length);
    if (!(await waitUntil(() => this.order(action, first, ORDER_LIMIT_MS)))) {
      checker.violations.push(`the order to ${action} was never acknowledged`);
    }
  }

  /** Stops a random process for a while, and sends it an order first. */
  private async orderAtPausedProcess(action: Action, limit = ORDER_LIMIT_MS): Promise<void> {
    const { random, control } = this.options;
    const first = Math.floor(random.next() * control.length);
    control[first]?.signal('SIGSTOP');
    setTimeout(
      () => control[first]?.signal('SIGCONT'),
      PATIENCE_MS + random.next() * (MAXIMUM_PAUSE_MS - PATIENCE_MS),
    );
    await this.order(action, first, limit);
  }

  /** Sends an order to one process after another; true if it is acknowledged within the limit. */
  private async order(action: Action, first: number, limit: number): Promise<boolean> {
    const { control, operatorPort, random } = this.options;
    const endsAt = Date.now() + limit;
    for (let tries = 0; Date.now() < endsAt; tries += 1) {
      const host = control[(first + tries) % control.length]?.host;
      if (await clients.changeEvacuation({ host, port: operatorPort }, DATA_CENTRE, action, PATIENCE_MS)) {
        return true;
      }
      const backoff = Math.min(MAXIMUM_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** tries);
      await sleep.forMilliseconds(backoff * (0.5 + random.next() / 2));
    }
    return false;
  }
}
