/**
 * Checks the evacuation of a data centre: an operator evacuates it before the fault phase and restores it afterwards.
 * An acknowledged evacuation must survive kills, partitions and disk losses, and the restored cold instances must not
 * be overloaded.
 */
import * as clients from './clients.js';
import type * as invariantChecker from './invariantChecker.js';
import * as sleep from './sleep.js';
import type * as stubInstance from './stubInstance.js';

/** Data centre of the entries, whose instances they prefer. */
const EVACUATED_DATA_CENTRE = 'a';

/** Time after the fault phase within which all entries must apply the evacuation. */
const EVACUATION_SETTLE_MS = 5_000;

/** Time during which no request may reach the evacuated data centre. */
const OBSERVATION_MS = 1_500;

/** Time for which the instances report that they are cold when the data centre is restored. */
const COLD_DURATION_MS = 1_000;

/** Polls a condition until it holds; false on timeout. */
export type WaitUntil = (condition: () => Promise<boolean>) => Promise<boolean>;

/** Dependencies of the evacuation check. */
export interface EvacuationCheckOptions {
  readonly operator: clients.Operator;
  readonly checker: invariantChecker.InvariantChecker;
  readonly instances: readonly stubInstance.StubInstance[];
  readonly waitUntil: WaitUntil;
}

/** Evacuates and restores a data centre in one soak run. */
export class EvacuationCheck {
  private readonly options: EvacuationCheckOptions;

  constructor(options: EvacuationCheckOptions) {
    this.options = options;
  }

  private get evacuatedInstances(): readonly stubInstance.StubInstance[] {
    return this.options.instances.filter((instance) => instance.dataCentre === EVACUATED_DATA_CENTRE);
  }

  /** Evacuates the data centre; called before the fault phase. */
  async begin(): Promise<void> {
    const { operator, checker, waitUntil } = this.options;
    if (!(await waitUntil(() => operator.changeEvacuation(EVACUATED_DATA_CENTRE, 'begin')))) {
      checker.violations.push('the evacuation was never acknowledged');
    }
  }

  /** Checks that no request arrives until the data centre is restored; called after the fault phase. */
  async check(): Promise<void> {
    const { operator, checker, waitUntil } = this.options;
    await sleep.forMilliseconds(EVACUATION_SETTLE_MS);
    const before = this.countArrivals();
    await sleep.forMilliseconds(OBSERVATION_MS);
    const arrived = this.countArrivals() - before;
    if (arrived > 0) {
      checker.violations.push(`${arrived} requests reached instances in an evacuated data centre`);
    }
    for (const instance of this.evacuatedInstances) {
      instance.becomeCold(COLD_DURATION_MS);
    }
    if (!(await waitUntil(() => operator.changeEvacuation(EVACUATED_DATA_CENTRE, 'finish')))) {
      checker.violations.push('the restoration was never acknowledged');
    }
    const arrivalsAtRestore = this.countArrivals();
    if (!(await waitUntil(() => Promise.resolve(this.countArrivals() > arrivalsAtRestore)))) {
      checker.violations.push('no request reached an instance in a restored data centre');
    }
    await sleep.forMilliseconds(COLD_DURATION_MS);
    for (const instance of this.evacuatedInstances.filter(
      (candidate) => candidate.maximumRateWhileCold > clients.COLD_REQUESTS_PER_SECOND,
    )) {
      checker.violations.push(
        `${instance.identity} was cold and received ${instance.maximumRateWhileCold} requests within one second`,
      );
    }
  }

  private countArrivals(): number {
    return this.evacuatedInstances.reduce((sum, instance) => sum + instance.arrivals, 0);
  }
}
