/**
 * Bounded in-memory store of crash records by content, and the verdict that follows from each.
 *
 * Guards against a request that crashes every upstream that runs it: resumed and retried without a shared record, it
 * takes down all upstreams within seconds. A crash is recorded for every content that ran on the instance; crashes of
 * three instances quarantine a content. Contents that merely ran beside it are rarely affected: an answer voids earlier
 * crashes, and a crash explained by one quarantined content is not counted for others.
 *
 * Processes exchange full records and merge them; the verdict does not depend on order or repetition. All records
 * expire.
 */
import type * as ports from '../kernel/ports.js';
import type * as types from './types.js';

/** Instances that must crash before a content is quarantined. Unrelated failures may easily coincide twice. */
export const CRASHES_TO_QUARANTINE = 3;

/** After a quarantine has expired, a single crash quarantines the content again. */
const CRASHES_TO_REQUARANTINE = 1;

/** How long crashes are kept after the last change of a record; covers callers that retry with a backoff. */
const CRASH_RETENTION: ports.Milliseconds = 600_000;

/** Duration of the first quarantine of a content. */
export const FIRST_QUARANTINE_DURATION: ports.Milliseconds = 3_600_000;

/** Factor by which each further quarantine lasts longer than the one before. */
const QUARANTINE_GROWTH_FACTOR = 6;

/** How long a record with an expired quarantine is kept after its last change. */
const EXPIRED_QUARANTINE_RETENTION: ports.Milliseconds = 48 * 3_600_000;

/** Maximum number of records; beyond it, records that are not quarantined are evicted first. */
const MAX_RECORDS = 2_000;

/** Maximum number of crashes kept for one content. */
const MAX_CRASHES_PER_RECORD = 8;

interface StoredRecord {
  readonly content: string;
  /** Crash times by instance. */
  readonly crashes: Map<string, ports.Milliseconds>;
  /** Crashes up to this time are void. */
  voidedAt: ports.Milliseconds;
  quarantinedAt: ports.Milliseconds | undefined;
  /** Time at which a quarantine from the replicated log was applied; negative infinity if never. */
  imposedAt: ports.Milliseconds;
  /** Number of expired quarantines. */
  lapses: number;
  revision: number;
  changedAt: ports.Milliseconds;
}

/** Start or end of the quarantine of a content. */
export interface VerdictChange {
  readonly content: string;
  readonly change: 'quarantined' | 'answered' | 'lapsed';
  /** Instances recorded here as crashed while they ran the content. */
  readonly instances: readonly string[];
}

/** Stores crash records and derives verdicts; see the module comment. */
export class CrashRecordStore {
  private readonly records = new Map<string, StoredRecord>();
  private currentRevision = 0;
  private readonly onChange: (change: VerdictChange) => void;

  /**
   * @param onChange - called when a content is quarantined or released
   */
  constructor(onChange: (change: VerdictChange) => void = () => undefined) {
    this.onChange = onChange;
  }

  /** Increases with every change of any record. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Contents that are currently quarantined. */
  get quarantined(): readonly string[] {
    return [...this.records.values()]
      .filter((known) => known.quarantinedAt !== undefined)
      .map(({ content }) => content);
  }

  /** Verdict on a content; `free` if it has no record. */
  verdictOf(content: string): types.Verdict {
    const known = this.records.get(content);
    if (known === undefined) {
      return 'free';
    }
    if (known.quarantinedAt !== undefined) {
      return 'quarantined';
    }
    return this.unexplainedCrashesOf(known) > 0 ? 'suspected' : 'free';
  }

  /** Time until the quarantine of a content expires; 0 if it is not quarantined. */
  timeLeft(content: string, now: number): ports.Milliseconds {
    const known = this.records.get(content);
    return known?.quarantinedAt === undefined ? 0 : Math.max(0, this.quarantineEndsAt(known) - now);
  }

  /** Instances that crashed while they ran a content. */
  instancesOf(content: string): readonly string[] {
    return [...(this.records.get(content)?.crashes.keys() ?? [])];
  }

  /** Records that an instance crashed while it ran a content; returns true if the record changed. */
  recordCrash(content: string, instance: string, now: number): boolean {
    return this.merge({ content, crashes: [{ instance, age: 0 }], lapses: 0 }, now);
  }

  /**
   * Records a complete answer, which voids all earlier crashes: the content does not crash every upstream that runs it.
   *
   * @returns true if there were any crashes to void
   */
  recordAnswer(content: string, now: number): boolean {
    const known = this.records.get(content);
    if (known === undefined || known.crashes.size === 0) {
      return false;
    }
    return this.merge({ content, crashes: [], voidedAge: 0, lapses: known.lapses }, now);
  }

  /** Quarantines a content from the replicated log, without known crashes; returns true if the record changed. */
  applyAgreedQuarantine(content: string, now: number): boolean {
    return this.merge({ content, crashes: [], imposedAge: 0, lapses: 0 }, now);
  }

  /** Merges a crash record from another process; returns true if the stored record changed. */
  merge(record: types.CaseRecord, now: number): boolean {
    const known = this.records.get(record.content) ?? this.create(record.content, now);
    const before = JSON.stringify(this.comparableStateOf(known));
    known.voidedAt = Math.max(known.voidedAt, now - (record.voidedAge ?? Number.POSITIVE_INFINITY));
    known.imposedAt = Math.max(known.imposedAt, now - (record.imposedAge ?? Number.POSITIVE_INFINITY));
    known.lapses = Math.max(known.lapses, record.lapses);
    for (const { instance, age } of record.crashes) {
      if (!known.crashes.has(instance) && known.crashes.size < MAX_CRASHES_PER_RECORD) {
        known.crashes.set(instance, now - age);
      }
    }
    this.discardVoidedCrashes(known);
    this.updateVerdict(known);
    if (JSON.stringify(this.comparableStateOf(known)) === before) {
      return false;
    }
    known.changedAt = now;
    this.currentRevision += 1;
    known.revision = this.currentRevision;
    this.evictExcessRecord();
    return true;
  }

  private create(content: string, now: number): StoredRecord {
    const created: StoredRecord = {
      content,
      crashes: new Map(),
      voidedAt: Number.NEGATIVE_INFINITY,
      quarantinedAt: undefined,
      imposedAt: Number.NEGATIVE_INFINITY,
      lapses: 0,
      revision: 0,
      changedAt: now,
    };
    this.records.set(content, created);
    return created;
  }

  /** State whose change counts as a change of the record; excludes times, which shift slightly with each transfer. */
  private comparableStateOf(known: StoredRecord): unknown {
    const { crashes, quarantinedAt, lapses } = known;
    return [[...crashes.keys()].sort(), quarantinedAt !== undefined, lapses];
  }

  private discardVoidedCrashes(known: StoredRecord): void {
    for (const [instance, at] of known.crashes) {
      if (at <= known.voidedAt) {
        known.crashes.delete(instance);
      }
    }
  }

  /**
   * Quarantines a content, or releases it if its crashes were voided. Crashes explained by another quarantined content
   * do not count towards a new quarantine, but keep an existing one: otherwise two contents with the same crashes would
   * release each other.
   */
  private updateVerdict(known: StoredRecord): void {
    const wasQuarantined = known.quarantinedAt !== undefined;
    const needed = known.lapses > 0 ? CRASHES_TO_REQUARANTINE : CRASHES_TO_QUARANTINE;
    const isImposed = known.imposedAt > known.voidedAt;
    const isStillJustified = wasQuarantined && known.crashes.size >= needed;
    const isQuarantined = isImposed || isStillJustified || this.unexplainedCrashesOf(known) >= needed;
    if (isQuarantined === wasQuarantined) {
      return;
    }
    known.quarantinedAt = isQuarantined ? Math.max(known.imposedAt, ...known.crashes.values()) : undefined;
    this.notifyChange(known, isQuarantined ? 'quarantined' : 'answered');
  }

  private notifyChange(known: StoredRecord, change: VerdictChange['change']): void {
    this.onChange({ content: known.content, change, instances: [...known.crashes.keys()] });
  }

  /** Number of crashes that no other quarantined content explains. */
  private unexplainedCrashesOf(known: StoredRecord): number {
    return [...known.crashes.keys()].filter((instance) => !this.isExplained(instance, known)).length;
  }

  /** Returns true if another quarantined content ran on the instance when it crashed. */
  private isExplained(instance: string, except: StoredRecord): boolean {
    for (const other of this.records.values()) {
      if (other !== except && other.quarantinedAt !== undefined && other.crashes.has(instance)) {
        return true;
      }
    }
    return false;
  }

  private quarantineEndsAt(known: StoredRecord): ports.Milliseconds {
    const since = Math.max(known.quarantinedAt ?? 0, ...known.crashes.values());
    return since + FIRST_QUARANTINE_DURATION * QUARANTINE_GROWTH_FACTOR ** known.lapses;
  }

  /** Ends quarantines that have expired and deletes records past their retention. */
  expire(now: number): void {
    for (const known of this.records.values()) {
      if (known.quarantinedAt === undefined) {
        const retention = known.lapses > 0 ? EXPIRED_QUARANTINE_RETENTION : CRASH_RETENTION;
        if (now - known.changedAt >= retention) {
          this.records.delete(known.content);
        }
      } else if (now >= this.quarantineEndsAt(known)) {
        known.quarantinedAt = undefined;
        known.lapses += 1;
        known.voidedAt = now;
        known.changedAt = now;
        this.notifyChange(known, 'lapsed');
        known.crashes.clear();
      }
    }
  }

  /** Evicts the least recently changed record beyond `MAX_RECORDS`, if possible one that is not quarantined. */
  private evictExcessRecord(): void {
    if (this.records.size <= MAX_RECORDS) {
      return;
    }
    const byAge = [...this.records.values()].sort((left, right) => left.changedAt - right.changedAt);
    const oldest = byAge.find(({ quarantinedAt }) => quarantinedAt === undefined) ?? byAge[0];
    if (oldest !== undefined) {
      this.records.delete(oldest.content);
    }
  }

  private toCrashRecord(known: StoredRecord, now: number): types.CaseRecord {
    const { content, crashes, voidedAt, imposedAt, lapses } = known;
    return {
      content,
      crashes: [...crashes].map(([instance, at]) => ({ instance, age: Math.round(now - at) })),
      ...(Number.isFinite(voidedAt) && { voidedAge: Math.round(now - voidedAt) }),
      ...(imposedAt > voidedAt && { imposedAge: Math.round(now - imposedAt) }),
      lapses,
    };
  }

  /** The crash record of a content, for publishing; undefined if there is none. */
  recordOf(content: string, now: number): types.CaseRecord | undefined {
    const known = this.records.get(content);
    return known === undefined ? undefined : this.toCrashRecord(known, now);
  }

  /** Crash records that changed after a revision. */
  updatesSince(revision: number, now: number): types.CaseNews {
    const changed = [...this.records.values()].filter((known) => known.revision > revision);
    return { revision: this.currentRevision, cases: changed.map((known) => this.toCrashRecord(known, now)) };
  }
}
