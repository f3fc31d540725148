/**
 * Answers of a control replica to the watches of entries: what has changed since the entry asked last.
 */
import type * as agreedState from '../agreedState/agreedState.js';
import type * as fragileServices from '../callSlots/fragileServices.js';
import type * as replica from '../consensus/replica.js';
import type * as instanceTable from '../instances/instanceTable.js';
import type * as timerService from '../kernel/timerService.js';
import type * as quarantineRegistry from '../quarantine/quarantineRegistry.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import type * as appliedConfiguration from './appliedConfiguration.js';
import type * as methods from './methods.js';
import type * as openWatches from './openWatches.js';

/** Sources of the answers. */
export interface WatchAnswersOptions {
  readonly replica: replica.Replica;
  readonly state: agreedState.AgreedState;
  readonly timers: timerService.TimerService;
  readonly dataCentre: string;
  readonly table: instanceTable.InstanceTable;
  readonly crashRecords: quarantineRegistry.QuarantineRegistry;
  readonly configuration: appliedConfiguration.AppliedConfiguration;
  readonly fragileServices: fragileServices.FragileServices;
  readonly entryCount: () => number;
}

/** Composes the answers; see the module comment. */
export class WatchAnswers {
  private readonly options: WatchAnswersOptions;

  constructor(options: WatchAnswersOptions) {
    this.options = options;
  }

  /** State whose changes make a watch due. */
  state(): openWatches.WatchedState {
    const { replica: own, state, crashRecords } = this.options;
    const { fresh, term, leader } = own.status();
    return {
      trafficVersion: state.traffic?.version ?? 0,
      fresh,
      crashRecordRevision: crashRecords.revision,
      evacuationRevision: state.evacuations.revision,
      leaderTerm: leader === undefined ? 0 : term,
    };
  }

  /** Answer to a watch, with what its entry does not have yet. */
  answer(request: methods.WatchRequest): methods.WatchAnswer {
    const { replica: own, state, timers, dataCentre, table, entryCount } = this.options;
    const status = own.status();
    const control = status.members.map((member) => member.address);
    const { epoch, revision, listing } = request;
    const isCurrent = listing === undefined && epoch === table.epoch && revision === table.currentRevision;
    const { evacuations } = state;
    const applied = this.options.configuration.current();
    const fragile = this.options.fragileServices.records(timers.now());
    const crashRecords = this.options.crashRecords.updatesSince(
      epoch === table.epoch ? request.caseRevision : 0,
    );
    return {
      dataCentre,
      ...(!isCurrent && { instances: table.updatesSince(epoch, revision, timers.now(), listing) }),
      ...(rendezvousHashing.digestOf(control) !== request.controlDigest && { control }),
      trafficVersion: applied.version,
      trafficAge: applied.age,
      fresh: status.fresh,
      leaderTerm: status.term,
      leaderAddress: status.fresh ? (status.leader?.address ?? '') : '',
      entryCount: entryCount(),
      ...(crashRecords !== undefined && { cases: crashRecords }),
      ...(fragile.length > 0 && { fragile }),
      ...(evacuations.revision > request.evacuationRevision && { evacuations }),
    };
  }
}
