/**
 * Crash records that processes exchange about requests whose upstreams crashed. Times are milliseconds.
 */
import type * as ports from '../kernel/ports.js';

/**
 * State of a request, by its possible causes of crashes:
 *
 * - `quarantined`: sent to no upstream, except for rare trials.
 * - `trial`: a part of its prompt may crash upstreams; single requests are sent to find out.
 * - `suspected`: its content has some recorded crashes.
 */
export type Verdict = 'free' | 'suspected' | 'trial' | 'quarantined';

/**
 * Decides whether a verdict lets a request be sent like any other.
 *
 * @example
 * ```ts
 * if (!types.allowsSending(quarantine.verdictOf(causes))) refuse();
 * ```
 */
export function allowsSending(verdict: Verdict): boolean {
  return verdict === 'free' || verdict === 'suspected';
}

/** A crash of an upstream instance while it ran a request with the cause. */
export interface InstanceCrash {
  readonly instance: string;
  /** Digest of the request; absent if the cause is a whole content. */
  readonly content?: string;
  /** Time since the crash. */
  readonly age: ports.Milliseconds;
}

/** All recorded crashes of one possible cause, as exchanged between processes. Receivers merge it into their own record. */
export interface CrashRecord {
  /** Key of the cause: the digest of a content, or a part of prompts. */
  readonly content: string;
  readonly crashes: readonly InstanceCrash[];
  /** Time since earlier crashes were voided by an answer or an expired quarantine; absent if that never happened. */
  readonly voidedAge?: ports.Milliseconds;
  /** Time since a quarantine from the replicated log was applied; absent if it follows from `crashes` alone. */
  readonly imposedAge?: ports.Milliseconds;
  /** Number of earlier quarantines that expired. */
  readonly lapses: number;
}

/** Crash records that changed after a given revision of one publisher. */
export interface CrashRecordUpdate {
  readonly revision: number;
  readonly cases: readonly CrashRecord[];
  /** True if there were more records than fit in the update; the others have higher revisions. */
  readonly hasMore?: boolean;
}
