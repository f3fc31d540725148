/**
 * An operator evacuates a data centre before the trouble and restores it after: what was acknowledged must hold through
 * kills, cuts and lost disks, and its runners, cold by then, must not be run down.
 */
import * as clients from './clients.js';
import type * as ledger from './ledger.js';
import * as pause from './pause.js';
import type * as runners from './runners.js';

/** The data centre that is evacuated: that of the entries, whose runners they prefer. */
const DATA_CENTRE = 'a';

/** Entries in contact with control send nothing there from this long after it is quiet. */
const OBEYED_MS = 5_000;

/** Time for which arrivals are watched once they must be none. */
const WATCHED_MS = 1_500;

/** Runners are cold for this long after the data centre is restored, by what they announce. */
const COLD_MS = 1_000;

/** Asks until it is so; false where the limit passes. */
export type Until = (holds: () => Promise<boolean>) => Promise<boolean>;

/** What the course needs. */
export interface EvacuationOptions {
  readonly operator: clients.Operator;
  readonly book: ledger.Ledger;
  readonly runners: readonly runners.Runner[];
  readonly until: Until;
}

/** The evacuation of one run; see the module comment. */
export class Evacuation {
  private readonly options: EvacuationOptions;

  constructor(options: EvacuationOptions) {
    this.options = options;
  }

  private get there(): readonly runners.Runner[] {
    return this.options.runners.filter((runner) => runner.dataCentre === DATA_CENTRE);
  }

  /** Evacuates, before the trouble. */
  async begin(): Promise<void> {
    const { operator, book, until } = this.options;
    if (!(await until(() => operator.orderDataCentre(DATA_CENTRE, 'begin')))) {
      book.faults.push('the evacuation was never acknowledged');
    }
  }

  /** Called once it is quiet again: nothing may arrive, until the data centre is restored. */
  async check(): Promise<void> {
    const { operator, book, until } = this.options;
    await pause.of(OBEYED_MS);
    const before = this.arrivals();
    await pause.of(WATCHED_MS);
    const arrived = this.arrivals() - before;
    if (arrived > 0) {
      book.faults.push(`${arrived} requests reached runners of an evacuated data centre`);
    }
    for (const runner of this.there) {
      runner.becomeCold(COLD_MS);
    }
    if (!(await until(() => operator.orderDataCentre(DATA_CENTRE, 'finish')))) {
      book.faults.push('the restoration was never acknowledged');
    }
    const restored = this.arrivals();
    if (!(await until(() => Promise.resolve(this.arrivals() > restored)))) {
      book.faults.push('nothing reached runners of a restored data centre');
    }
    await pause.of(COLD_MS);
    for (const runner of this.there.filter((candidate) => candidate.mostWhileCold > clients.COLD_TOLERATES)) {
      book.faults.push(`${runner.identity} was cold and got ${runner.mostWhileCold} requests in a second`);
    }
  }

  private arrivals(): number {
    return this.there.reduce((sum, runner) => sum + runner.arrivals, 0);
  }
}
