/**
 * Quarantine of an entry of the traffic service, and the exchange of its crash records with control and other entries.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as peerRelay from '../peerRelay/peerRelay.js';
import * as crashReporter from '../quarantine/crashReporter.js';
import * as quarantine from '../quarantine/quarantine.js';
import * as methods from '../trafficControl/methods.js';

/** Dependencies of the quarantine of an entry. */
export interface EntryQuarantineOptions {
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly peers: ports.PeerTransport;
  readonly instances: instanceView.InstanceView;
  /** Number of running entries. */
  readonly entryCount: () => number;
  readonly replicas: () => readonly string[];
  readonly peerRelay: () => peerRelay.PeerRelay;
  /** Called when the address of an instance refuses connections. */
  readonly onInstanceDown: (instance: string) => void;
}

/** The quarantine and the reporter of its crash records. */
export interface EntryQuarantine {
  readonly quarantine: quarantine.Quarantine;
  readonly reporter: crashReporter.CrashReporter;
}

/**
 * Creates the quarantine of an entry.
 *
 * @returns the quarantine and its reporter
 * @example
 * ```ts
 * const { quarantine, reporter } = entryQuarantine.create(options);
 * ```
 */
export function create(options: EntryQuarantineOptions): EntryQuarantine {
  const { timers, random, log, metrics, peers, instances, entryCount, replicas, onInstanceDown } = options;
  const reporter = new crashReporter.CrashReporter({
    ...{ timers, peers, replicas },
    recordOf: (cause) => created.recordOf(cause),
    findEntries: (count, done) => {
      options.peerRelay().findEntries(count, done);
    },
  });
  const created: quarantine.Quarantine = new quarantine.Quarantine({
    ...{ timers, random, log, metrics, entryCount, onInstanceDown },
    check: (address, done) => {
      options.peerRelay().upstreams.check(address, done);
    },
    isTerminating: (identity) => instances.isTerminating(identity),
    report: (causes) => {
      reporter.reportToAll(causes);
    },
  });
  // Other entries send their crash records here while they reach no control replica.
  peers.serve(methods.methods.crashRecords, (parameters, reply) => {
    const { cases } = parameters as methods.CrashRecordReport;
    reporter.reportToAll(created.mergeRecords(cases));
    reply(results.Ok(null));
  });
  return { quarantine: created, reporter };
}
