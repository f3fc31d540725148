/**
 * Quarantine registry of a control replica: collects crash records from entries, publishes them to all entries, and
 * commits quarantined contents to the replicated log.
 *
 * Crash records are exchanged without the leader, so that entries learn of a quarantine during an election or without
 * a quorum. The replicated log only serves to restore quarantines after all processes have restarted.
 */
import type * as agreedTypes from '../agreedState/types.js';
import type * as ports from '../kernel/ports.js';
import * as crashRecordStore from './crashRecordStore.js';
import type * as partVerdicts from './partVerdicts.js';
import type * as types from './types.js';

/** Maximum number of records in an update, so that it arrives over a narrow link within the timeout of a watch. */
export const MAXIMUM_RECORDS_PER_UPDATE = 32;

/** A quarantine as operators see it. */
export interface QuarantinedCause {
  /** Digest of a content, or `part:` with a service and a part of prompts. */
  readonly cause: string;
  /** Upstreams that crashed. */
  readonly crashed: readonly string[];
  /** Time until it runs out. */
  readonly timeLeft: ports.Milliseconds;
  /** State of a part of prompts; absent if a cause that another part explains is let through. */
  readonly state?: partVerdicts.PartState;
}

/** Dependencies and limits of the registry. */
export interface QuarantineRegistryOptions {
  readonly now: () => ports.Milliseconds;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** Quarantined contents in the replicated log; returns a new array after each change. */
  readonly agreed: () => readonly string[];
  /** Proposes a command to the replicated log; called only while `mayLead` returns true. */
  readonly propose: (command: agreedTypes.QuarantineCommand | agreedTypes.ReleaseCommand) => void;
  readonly mayLead: () => boolean;
  /** Maximum number of contents in the replicated log; any others are kept in memory only. */
  readonly maximumAgreed: number;
}

/** Minimum time between two proposals of the same command; longer than an election and a disk sync. */
const PROPOSAL_RETRY_INTERVAL: ports.Milliseconds = 2_000;

/** Collects, publishes and replicates quarantines; see the module comment. */
export class QuarantineRegistry {
  private readonly options: QuarantineRegistryOptions;
  private readonly store: crashRecordStore.CrashRecordStore;
  private appliedQuarantines: readonly string[] = [];
  private readonly proposedAt = new Map<string, ports.Milliseconds>();

  constructor(options: QuarantineRegistryOptions) {
    this.options = options;
    const { log, metrics } = options;
    this.store = new crashRecordStore.CrashRecordStore(({ content, change, instances }) => {
      log.info('caseChanged', { content, change, ended: instances.join(' ') });
      metrics.gauge('quarantine.contents', this.store.quarantined.length);
    });
  }

  /** Increases with every change of any record. */
  get revision(): number {
    this.applyAgreedQuarantines();
    return this.store.revision;
  }

  /** Crash records that changed after a revision; undefined if none did. */
  updatesSince(revision: number): types.CrashRecordUpdate | undefined {
    this.applyAgreedQuarantines();
    return revision >= this.store.revision
      ? undefined
      : this.store.updatesSince(revision, this.options.now(), MAXIMUM_RECORDS_PER_UPDATE);
  }

  /** Merges crash records from an entry; returns true if any of them changed the stored state. */
  mergeRecords(records: readonly types.CrashRecord[]): boolean {
    this.applyAgreedQuarantines();
    const now = this.options.now();
    const changes = records.map((record) => this.store.merge(record, now));
    this.proposeChanges();
    return changes.includes(true);
  }

  /** The crash record of a cause; undefined if there is none. */
  recordOf(cause: string): types.CrashRecord | undefined {
    return this.store.recordOf(cause, this.options.now());
  }

  /** Quarantined causes. */
  list(): readonly QuarantinedCause[] {
    this.applyAgreedQuarantines();
    return this.store.quarantined.map((cause) => {
      const state = this.store.partVerdicts.get(cause)?.state;
      return {
        cause,
        crashed: this.store.instancesOf(cause),
        timeLeft: Math.round(this.store.timeLeft(cause, this.options.now())),
        ...(state !== undefined && { state }),
      };
    });
  }

  /** Voids the crashes of a cause; returns false if it is not quarantined. */
  lift(cause: string): boolean {
    this.applyAgreedQuarantines();
    if (this.store.verdictOf(cause) !== 'quarantined') {
      return false;
    }
    this.store.lift(cause, this.options.now());
    this.proposeChanges();
    return true;
  }

  /** Periodic work: expires records and proposes changes to the replicated log. */
  tick(): void {
    this.applyAgreedQuarantines();
    this.store.expire(this.options.now());
    this.proposeChanges();
  }

  /** Applies quarantines from the replicated log that have not been applied yet; after a start, all of them. */
  private applyAgreedQuarantines(): void {
    const agreed = this.options.agreed();
    if (agreed === this.appliedQuarantines) {
      return;
    }
    const applied = new Set(this.appliedQuarantines);
    this.appliedQuarantines = agreed;
    for (const content of agreed) {
      if (!applied.has(content) && this.store.verdictOf(content) !== 'quarantined') {
        this.store.applyAgreedQuarantine(content, this.options.now());
      }
    }
  }

  /** On the leader, proposes the commands that align the replicated log with the local records. */
  private proposeChanges(): void {
    if (!this.options.mayLead()) {
      return;
    }
    const agreed = new Set(this.options.agreed());
    const missing = this.store.quarantined.filter((content) => !agreed.has(content));
    for (const content of missing.slice(0, Math.max(0, this.options.maximumAgreed - agreed.size))) {
      this.proposeThrottled({ type: 'quarantine', content });
    }
    for (const content of agreed) {
      if (this.store.verdictOf(content) !== 'quarantined') {
        this.proposeThrottled({ type: 'release', content });
      }
    }
  }

  private proposeThrottled(command: agreedTypes.QuarantineCommand | agreedTypes.ReleaseCommand): void {
    const now = this.options.now();
    const key = `${command.type} ${command.content}`;
    if (now - (this.proposedAt.get(key) ?? Number.NEGATIVE_INFINITY) < PROPOSAL_RETRY_INTERVAL) {
      return;
    }
    for (const [earlierKey, at] of this.proposedAt) {
      if (now - at >= PROPOSAL_RETRY_INTERVAL) {
        this.proposedAt.delete(earlierKey);
      }
    }
    this.proposedAt.set(key, now);
    this.options.propose(command);
  }
}
