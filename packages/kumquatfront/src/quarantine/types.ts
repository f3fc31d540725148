/**
 * What processes tell each other of upstreams that ended under certain requests. Times are milliseconds.
 */
import type * as ports from '../kernel/ports.js';

/** What is held against a content: `quarantined` is sent to no upstream, of `suspected` some ends are held. */
export type Verdict = 'free' | 'suspected' | 'quarantined';

/** An upstream instance that ended while it ran a content. */
export interface HeldCrash {
  readonly instance: string;
  /** Time since it ended. */
  readonly age: ports.Milliseconds;
}

/** Everything that is held against one content, as it goes between processes; it is merged, never replaced. */
export interface CaseRecord {
  /** Digest of the content. */
  readonly content: string;
  readonly crashes: readonly HeldCrash[];
  /** Time since all before became void: it was answered, or a quarantine ran out. Absent where nothing did. */
  readonly voidedAge?: ports.Milliseconds;
  /** Time since it was quarantined by what replicas had agreed on; absent where its crashes tell by themselves. */
  readonly imposedAge?: ports.Milliseconds;
  /** Quarantines that have run out before. */
  readonly lapses: number;
}

/** Cases that changed since a revision of one publisher. */
export interface CaseNews {
  readonly revision: number;
  readonly cases: readonly CaseRecord[];
}
