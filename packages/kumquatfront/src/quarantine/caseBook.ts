/**
 * A control replica's part in keeping requests that end upstreams away from them: it collects what entries found out,
 * tells all entries, and has the replicas agree on what is quarantined, so that it outlives them.
 *
 * Entries tell every replica, and hear from two at once, so a quarantine is known everywhere within a second whoever
 * leads, and where nobody does. The replicated log is only for the loss of everything: after it, the same request would
 * end three upstreams anew.
 */
import type * as agreedTypes from '../agreedState/types.js';
import type * as ports from '../kernel/ports.js';
import * as crashLedger from './crashLedger.js';
import type * as types from './types.js';

/** What the book is made from. */
export interface CaseBookOptions {
  readonly now: () => ports.Milliseconds;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** Contents that the replicas have agreed to keep from upstreams; another list after each change. */
  readonly agreed: () => readonly string[];
  /** Proposes a command to the replicated log; called only where this replica leads. */
  readonly propose: (command: agreedTypes.QuarantineCommand | agreedTypes.ReleaseCommand) => void;
  readonly mayLead: () => boolean;
  /** Contents that the replicas agree on at most; further ones live in memory only. */
  readonly mostAgreed: number;
}

/** A proposal without an outcome is made again after this long: an election and a sync take less. */
const PROPOSE_AGAIN: ports.Milliseconds = 2_000;

/** The book; see the module comment. */
export class CaseBook {
  private readonly options: CaseBookOptions;
  private readonly ledger: crashLedger.CrashLedger;
  private imposed: readonly string[] = [];
  private readonly proposedAt = new Map<string, ports.Milliseconds>();

  constructor(options: CaseBookOptions) {
    this.options = options;
    const { log, metrics } = options;
    this.ledger = new crashLedger.CrashLedger(({ content, change, instances }) => {
      log.info('caseChanged', { content, change, ended: instances.join(' ') });
      metrics.gauge('quarantine.contents', this.ledger.quarantined.length);
    });
  }

  get revision(): number {
    this.imposeAgreed();
    return this.ledger.revision;
  }

  /** What changed after a revision; undefined where nothing did. */
  newsSince(revision: number): types.CaseNews | undefined {
    this.imposeAgreed();
    return revision >= this.ledger.revision ? undefined : this.ledger.newsSince(revision, this.options.now());
  }

  /** Takes in what an entry holds against contents; true where it is news. */
  hear(cases: readonly types.CaseRecord[]): boolean {
    this.imposeAgreed();
    const now = this.options.now();
    const changes = cases.map((record) => this.ledger.merge(record, now));
    this.agree();
    return changes.includes(true);
  }

  /** Called several times a second. */
  beat(): void {
    this.imposeAgreed();
    this.ledger.expire(this.options.now());
    this.agree();
  }

  /** Takes over what this replica's log holds that it has not taken over yet: after a start that is all of it. */
  private imposeAgreed(): void {
    const agreed = this.options.agreed();
    if (agreed === this.imposed) {
      return;
    }
    const known = new Set(this.imposed);
    this.imposed = agreed;
    for (const content of agreed) {
      if (!known.has(content) && this.ledger.verdictOf(content) !== 'quarantined') {
        this.ledger.impose(content, this.options.now());
      }
    }
  }

  /** Brings the replicated log to what is held here, where this replica leads. */
  private agree(): void {
    if (!this.options.mayLead()) {
      return;
    }
    const agreed = new Set(this.options.agreed());
    const missing = this.ledger.quarantined.filter((content) => !agreed.has(content));
    for (const content of missing.slice(0, Math.max(0, this.options.mostAgreed - agreed.size))) {
      this.proposeOnce({ type: 'quarantine', content });
    }
    for (const content of agreed) {
      if (this.ledger.verdictOf(content) !== 'quarantined') {
        this.proposeOnce({ type: 'release', content });
      }
    }
  }

  private proposeOnce(command: agreedTypes.QuarantineCommand | agreedTypes.ReleaseCommand): void {
    const now = this.options.now();
    const key = `${command.type} ${command.content}`;
    if (now - (this.proposedAt.get(key) ?? Number.NEGATIVE_INFINITY) < PROPOSE_AGAIN) {
      return;
    }
    for (const [former, at] of this.proposedAt) {
      if (now - at >= PROPOSE_AGAIN) {
        this.proposedAt.delete(former);
      }
    }
    this.proposedAt.set(key, now);
    this.options.propose(command);
  }
}
