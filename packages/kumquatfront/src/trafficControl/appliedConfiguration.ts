/**
 * The traffic configuration that a control replica has applied: since when, its transfer to entries, and which entries do
 * not have it yet.
 */
import type * as agreedState from '../agreedState/agreedState.js';
import * as packagePublisher from '../configurationTransfer/packagePublisher.js';
import type * as transferTypes from '../configurationTransfer/types.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import * as entryDirectory from './entryDirectory.js';
import * as methods from './methods.js';

/** Age of a configuration, and time between two log lines, from which entries without it are logged. */
const BEHIND_LOG_INTERVAL: ports.Milliseconds = 1_000;

/** Dependencies of {@link AppliedConfiguration}. */
export interface AppliedConfigurationOptions {
  readonly state: agreedState.AgreedState;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly entries: entryDirectory.EntryDirectory;
}

/** A version, and the time since it was applied. */
export interface AppliedVersion {
  /** 0 if there is no configuration. */
  readonly version: number;
  readonly age: ports.Milliseconds;
}

/** See the module comment. */
export class AppliedConfiguration {
  private readonly options: AppliedConfigurationOptions;
  private readonly publisher = new packagePublisher.PackagePublisher();
  private version = 0;
  private appliedAt: ports.Milliseconds = 0;
  private nextLogAt: ports.Milliseconds = 0;

  constructor(options: AppliedConfigurationOptions) {
    this.options = options;
  }

  /** Registers the RPC handlers by which entries fetch the configuration. */
  serve(): void {
    const { peers, state } = this.options;
    peers.serve(methods.methods.fetch, (parameters, reply) => {
      const { above } = parameters as methods.FetchRequest;
      const { traffic } = state;
      reply(results.Ok(traffic !== undefined && traffic.version > above ? traffic : null));
    });
    peers.serve(methods.methods.fetchPiece, (parameters, reply) => {
      this.update();
      reply(results.Ok(this.publisher.answer(parameters as transferTypes.PieceRequest)));
    });
  }

  /** Notes the configuration in the replicated state; called after each command, and before each use. */
  update(): void {
    const { state, timers } = this.options;
    const version = state.traffic?.version ?? 0;
    if (version !== this.version) {
      this.version = version;
      this.appliedAt = timers.now();
      this.publisher.record(state.traffic);
    }
  }

  /** The version that the replica has applied; also after the installation of a snapshot. */
  current(): AppliedVersion {
    this.update();
    return { version: this.version, age: this.options.timers.now() - this.appliedAt };
  }

  /** Reports the entries that have not got the configuration yet; called periodically. */
  reportEntriesBehind(): void {
    const { log, metrics, entries, timers } = this.options;
    const { version, age } = this.current();
    const behind = entries.namesBehind(version);
    metrics.gauge('traffic.entries_behind', behind.length);
    const now = timers.now();
    if (behind.length === 0 || age < BEHIND_LOG_INTERVAL || now < this.nextLogAt) {
      return;
    }
    this.nextLogAt = now + BEHIND_LOG_INTERVAL;
    const names = entryDirectory.formatNames(behind);
    log.info('entriesBehind', { version, count: behind.length, known: entries.size, entries: names });
  }
}
