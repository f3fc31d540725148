/**
 * Quarantine at a control replica: takes crash records of entries, has quarantines replicated, and lets operators list and
 * lift them.
 */
import type * as agreedState from '../agreedState/agreedState.js';
import type * as agreedTypes from '../agreedState/types.js';
import type * as replica from '../consensus/replica.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import * as crashReporter from '../quarantine/crashReporter.js';
import * as quarantineRegistry from '../quarantine/quarantineRegistry.js';
import * as methods from './methods.js';

/** Dependencies of the quarantine of a replica. */
export interface QuarantineControlOptions {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly peers: ports.PeerTransport;
  readonly peerAddress: string;
  readonly replica: replica.Replica;
  readonly state: agreedState.AgreedState;
  /** Called when records have changed, which entries are to receive. */
  readonly notifyEntries: () => void;
}

/** Quarantine of a control replica; see the module comment. */
export class QuarantineControl {
  readonly registry: quarantineRegistry.QuarantineRegistry;
  private readonly options: QuarantineControlOptions;
  private readonly reporter: crashReporter.CrashReporter;

  constructor(options: QuarantineControlOptions) {
    this.options = options;
    const { timers, log, metrics, peers, state, replica: own } = options;
    this.registry = new quarantineRegistry.QuarantineRegistry({
      now: () => timers.now(),
      log,
      metrics,
      agreed: () => state.quarantined,
      mayLead: () => own.mayLead(),
      maximumAgreed: state.maximumQuarantined,
      propose: (command) => {
        this.propose(command);
      },
    });
    this.reporter = new crashReporter.CrashReporter({
      timers,
      peers,
      replicas: () => this.otherReplicas(),
      recordOf: (cause) => this.registry.recordOf(cause),
      findEntries: (_count, done) => {
        done([]);
      },
    });
    peers.serve(methods.methods.crashRecords, (parameters, reply) => {
      if (this.registry.mergeRecords((parameters as methods.CrashRecordReport).cases)) {
        options.notifyEntries();
      }
      reply(results.Ok(null));
    });
  }

  private otherReplicas(): readonly string[] {
    const { replica: own, peerAddress } = this.options;
    const addresses = own.status().members.map(({ address }) => address);
    return addresses.filter((address) => address !== peerAddress);
  }

  private propose(command: agreedTypes.QuarantineCommand | agreedTypes.ReleaseCommand): void {
    const { replica: own, log } = this.options;
    own.propose(command, (result) => {
      const outcome = result.ok ? 'agreed' : failures.describe(result.val);
      log.info('caseAgreed', { content: command.content, change: command.type, outcome });
    });
  }

  /** Causes that this replica knows to be quarantined, for operators. */
  list(): readonly quarantineRegistry.QuarantinedCause[] {
    return this.registry.list();
  }

  /** Lifts a quarantine for an operator, here and at all other replicas. */
  lift(cause: string): results.Result<null, failures.Failure> {
    if (!this.registry.lift(cause)) {
      const message = `${cause} is not quarantined.`;
      return results.Err(failures.create('notFound', message, 'List the quarantine for the causes.'));
    }
    this.options.log.warn('quarantineLiftOrdered', { content: cause });
    this.options.notifyEntries();
    this.reporter.reportToAll([cause]);
    return results.Ok(null);
  }
}
