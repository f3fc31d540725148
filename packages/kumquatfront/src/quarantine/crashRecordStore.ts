/**
 * Bounded in-memory store of crash records by content, and the verdict that follows from each.
 *
 * Guards against a request that crashes every upstream that runs it: resumed and retried without a shared record, it
 * takes down all upstreams within seconds. A crash is recorded for every content that ran on the instance; crashes of
 * three instances quarantine a content. Contents that merely ran beside it are rarely affected: an answer voids earlier
 * crashes, and a crash explained by one quarantined content is not counted for others. The same holds for a part of prompts
 * that crashes whatever begins to write on it; `partVerdicts` says what counts there.
 *
 * Processes exchange full records and merge them; the verdict does not depend on order or repetition. All records
 * expire.
 */
import type * as ports from '../kernel/ports.js';
import * as partVerdicts from './partVerdicts.js';
import * as requestCauses from './requestCauses.js';
import * as storedRecord from './storedRecord.js';
import type * as types from './types.js';

/** Instances that must crash before a content is quarantined. Unrelated failures may easily coincide twice. */
export const CRASHES_TO_QUARANTINE = 3;

/** After a quarantine has expired, a single crash quarantines the content again. */
const CRASHES_TO_REQUARANTINE = 1;

/** How long crashes are kept after the last change of a record; covers callers that retry with a backoff. */
const CRASH_RETENTION: ports.Milliseconds = 600_000;

/** Duration of the first quarantine of a content. */
export const FIRST_QUARANTINE_DURATION: ports.Milliseconds = 3_600_000;

/** Factor by which each further quarantine lasts longer: the third one ends two days after the first. */
const QUARANTINE_GROWTH_FACTOR = 6;

/** How long a record with an expired quarantine is kept after its last change. */
const EXPIRED_QUARANTINE_RETENTION: ports.Milliseconds = 48 * 3_600_000;

/** Maximum number of records; beyond it, records that are not quarantined are evicted first. */
const MAXIMUM_RECORDS = 2_000;

/** Maximum number of crashes kept for one content, and for a part of prompts. */
const MAXIMUM_CRASHES_PER_RECORD = 8;
const MAXIMUM_CRASHES_PER_PART = 32;

/** Times of voids that differ by less count as the same, since they shift slightly with each transfer. */
const VOID_RESOLUTION: ports.Milliseconds = 1_000;

/** Start or end of the quarantine of a content. */
export interface VerdictChange {
  readonly content: string;
  readonly change: 'quarantined' | 'answered' | 'lapsed';
  /** Instances recorded here as crashed while they ran the content. */
  readonly instances: readonly string[];
}

/** Stores crash records and derives verdicts; see the module comment. */
export class CrashRecordStore {
  private readonly records = new Map<string, storedRecord.StoredRecord>();
  private currentRevision = 0;
  /** Verdicts on parts of prompts; undefined after a change of any record. */
  private evaluated: ReadonlyMap<string, partVerdicts.PartVerdict> | undefined;
  private readonly onChange: (change: VerdictChange) => void;

  /**
   * @param onChange - called when a content is quarantined or released
   */
  constructor(onChange: (change: VerdictChange) => void = () => undefined) {
    this.onChange = onChange;
  }

  /** True if nothing has crashed for long. */
  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  /** Increases with every change of any record. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Contents that are currently quarantined. */
  get quarantined(): readonly string[] {
    return [...this.records.values()]
      .filter((stored) => stored.quarantinedAt !== undefined)
      .map(({ content }) => content);
  }

  /** Verdict on a content; `free` if it has no record. */
  verdictOf(content: string): 'free' | 'suspected' | 'quarantined' {
    const stored = this.records.get(content);
    if (stored === undefined) {
      return 'free';
    }
    if (stored.quarantinedAt !== undefined) {
      return 'quarantined';
    }
    return this.unexplainedCrashesOf(stored) > 0 ? 'suspected' : 'free';
  }

  /** Time until the quarantine of a content expires; 0 if it is not quarantined. */
  timeLeft(content: string, now: number): ports.Milliseconds {
    const stored = this.records.get(content);
    return stored?.quarantinedAt === undefined ? 0 : Math.max(0, this.quarantineEndsAt(stored) - now);
  }

  /** Instances that crashed while they ran a content. */
  instancesOf(content: string): readonly string[] {
    return [...(this.records.get(content)?.crashes.keys() ?? [])];
  }

  /**
   * Records that an instance crashed while it ran a request with the cause.
   *
   * @param content - digest of the request if the cause is a part of its prompt
   * @returns true if the record changed
   */
  recordCrash(cause: string, instance: string, now: number, content?: string): boolean {
    const crash: types.InstanceCrash = { instance, age: 0, ...(content !== undefined && { content }) };
    return this.merge({ content: cause, crashes: [crash], lapses: 0 }, now);
  }

  /**
   * Records when a request with a part last had an event; later crashes of the part stand.
   *
   * @returns true if the record changed; false also if there is none
   */
  recordHarmlessAt(part: string, at: ports.Milliseconds, now: number): boolean {
    const stored = this.records.get(part);
    if (stored === undefined || stored.crashes.size === 0) {
      return false;
    }
    return this.merge({ content: part, crashes: [], voidedAge: now - at, lapses: stored.lapses }, now);
  }

  /** Verdicts on parts of prompts, by key. */
  get partVerdicts(): ReadonlyMap<string, partVerdicts.PartVerdict> {
    this.evaluated ??= this.evaluateParts();
    return this.evaluated;
  }

  private evaluateParts(): ReadonlyMap<string, partVerdicts.PartVerdict> {
    const parts = [...this.records.values()].filter(
      ({ content, quarantinedAt }) => quarantinedAt !== undefined && requestCauses.isPart(content),
    );
    if (parts.length === 0) {
      return new Map();
    }
    const crashTimes = new Map<string, ports.Milliseconds>();
    for (const { crashes } of this.records.values()) {
      for (const [instance, { at }] of crashes) {
        crashTimes.set(instance, Math.min(at, crashTimes.get(instance) ?? at));
      }
    }
    const records = parts.map(({ content, crashes, quarantinedAt = 0, imposedAt, voidedAt }) => {
      const imposed = imposedAt > voidedAt && crashes.size === 0;
      return [content, { crashes, harmlessAt: voidedAt, quarantinedAt, imposed }] as const;
    });
    return partVerdicts.evaluate(new Map(records), crashTimes);
  }

  /**
   * Records a complete answer, which voids all earlier crashes: the content does not crash every upstream that runs it.
   *
   * @returns true if there were any crashes to void
   */
  recordAnswer(content: string, now: number): boolean {
    return this.recordHarmlessAt(content, now, now);
  }

  /** Voids all crashes of a cause, and its quarantine from the replicated log. */
  lift(cause: string, now: number): boolean {
    return this.merge({ content: cause, crashes: [], voidedAge: 0, lapses: 0 }, now);
  }

  /** Quarantines a content from the replicated log, without known crashes; returns true if the record changed. */
  applyAgreedQuarantine(content: string, now: number): boolean {
    return this.merge({ content, crashes: [], imposedAge: 0, lapses: 0 }, now);
  }

  /** Merges a crash record from another process; returns true if the stored record changed. */
  merge(record: types.CrashRecord, now: number): boolean {
    const stored = this.records.get(record.content) ?? storedRecord.create(record.content, now);
    this.records.set(record.content, stored);
    const before = JSON.stringify(storedRecord.comparableStateOf(stored));
    const voidedBefore = stored.voidedAt;
    stored.voidedAt = Math.max(stored.voidedAt, now - (record.voidedAge ?? Number.POSITIVE_INFINITY));
    stored.imposedAt = Math.max(stored.imposedAt, now - (record.imposedAge ?? Number.POSITIVE_INFINITY));
    stored.lapses = Math.max(stored.lapses, record.lapses);
    for (const crash of record.crashes) {
      this.mergeCrash(stored, crash, now);
    }
    const hasDiscarded = this.discardVoidedCrashes(stored);
    const isVoidNewer = stored.crashes.size > 0 && stored.voidedAt > voidedBefore + VOID_RESOLUTION;
    this.updateVerdict(stored);
    // The sender of a crash that is void here must learn so.
    if (!hasDiscarded && !isVoidNewer && JSON.stringify(storedRecord.comparableStateOf(stored)) === before) {
      return false;
    }
    stored.changedAt = now;
    this.currentRevision += 1;
    this.evaluated = undefined;
    stored.revision = this.currentRevision;
    this.evictExcessRecord();
    return true;
  }

  /** Of several runs on one instance the least digest is kept, so that all processes keep the same. */
  private mergeCrash(stored: storedRecord.StoredRecord, crash: types.InstanceCrash, now: number): void {
    const { instance, age, content = '' } = crash;
    const known = stored.crashes.get(instance);
    const limit = requestCauses.isPart(stored.content)
      ? MAXIMUM_CRASHES_PER_PART
      : MAXIMUM_CRASHES_PER_RECORD;
    if (known === undefined && stored.crashes.size < limit) {
      stored.crashes.set(instance, { at: now - age, content });
    } else if (known !== undefined && content < known.content) {
      stored.crashes.set(instance, { at: known.at, content });
    }
  }

  private discardVoidedCrashes(stored: storedRecord.StoredRecord): boolean {
    let hasDiscarded = false;
    for (const [instance, { at }] of stored.crashes) {
      if (at <= stored.voidedAt) {
        stored.crashes.delete(instance);
        hasDiscarded = true;
      }
    }
    return hasDiscarded;
  }

  /** True if the crashes suffice for a quarantine, or to keep it. */
  private isJustified(stored: storedRecord.StoredRecord): boolean {
    if (requestCauses.isPart(stored.content)) {
      return partVerdicts.areEvidence(stored.crashes.values(), stored.voidedAt);
    }
    const needed = stored.lapses > 0 ? CRASHES_TO_REQUARANTINE : CRASHES_TO_QUARANTINE;
    const isStillJustified = stored.quarantinedAt !== undefined && stored.crashes.size >= needed;
    return isStillJustified || this.unexplainedCrashesOf(stored) >= needed;
  }

  /**
   * Quarantines a content, or releases it if its crashes were voided. Crashes explained by another quarantined content
   * do not count towards a new quarantine, but keep an existing one: otherwise two contents with the same crashes would
   * release each other.
   */
  private updateVerdict(stored: storedRecord.StoredRecord): void {
    const wasQuarantined = stored.quarantinedAt !== undefined;
    const isImposed = stored.imposedAt > stored.voidedAt;
    const isQuarantined = isImposed || this.isJustified(stored);
    if (isQuarantined === wasQuarantined) {
      return;
    }
    stored.quarantinedAt = isQuarantined ? storedRecord.latestCrashOf(stored, stored.imposedAt) : undefined;
    this.notifyChange(stored, isQuarantined ? 'quarantined' : 'answered');
  }

  private notifyChange(stored: storedRecord.StoredRecord, change: VerdictChange['change']): void {
    this.onChange({ content: stored.content, change, instances: [...stored.crashes.keys()] });
  }

  /** Number of crashes that no other quarantined content explains. */
  private unexplainedCrashesOf(stored: storedRecord.StoredRecord): number {
    return [...stored.crashes.keys()].filter((instance) => !this.isExplained(instance, stored)).length;
  }

  /** Returns true if another quarantined content ran on the instance when it crashed. */
  private isExplained(instance: string, except: storedRecord.StoredRecord): boolean {
    for (const other of this.records.values()) {
      if (other !== except && other.quarantinedAt !== undefined && other.crashes.has(instance)) {
        return true;
      }
    }
    return false;
  }

  private quarantineEndsAt(stored: storedRecord.StoredRecord): ports.Milliseconds {
    const since = storedRecord.latestCrashOf(stored, stored.quarantinedAt ?? 0);
    return since + FIRST_QUARANTINE_DURATION * QUARANTINE_GROWTH_FACTOR ** stored.lapses;
  }

  /** Ends quarantines that have expired and deletes records past their retention. */
  expire(now: number): void {
    for (const stored of this.records.values()) {
      if (stored.quarantinedAt === undefined) {
        const retention = stored.lapses > 0 ? EXPIRED_QUARANTINE_RETENTION : CRASH_RETENTION;
        if (now - stored.changedAt >= retention) {
          this.records.delete(stored.content);
          this.evaluated = undefined;
        }
      } else if (now >= this.quarantineEndsAt(stored)) {
        this.evaluated = undefined;
        stored.quarantinedAt = undefined;
        stored.lapses += 1;
        stored.voidedAt = now;
        stored.changedAt = now;
        this.notifyChange(stored, 'lapsed');
        stored.crashes.clear();
      }
    }
  }

  /** Evicts the least recently changed record beyond `MAXIMUM_RECORDS`, if possible one that is not quarantined. */
  private evictExcessRecord(): void {
    if (this.records.size <= MAXIMUM_RECORDS) {
      return;
    }
    const byAge = [...this.records.values()].sort((left, right) => left.changedAt - right.changedAt);
    const oldest = byAge.find(({ quarantinedAt }) => quarantinedAt === undefined) ?? byAge[0];
    if (oldest !== undefined) {
      this.records.delete(oldest.content);
    }
  }

  /** The crash record of a content, for publishing; undefined if there is none. */
  recordOf(content: string, now: number): types.CrashRecord | undefined {
    const stored = this.records.get(content);
    return stored === undefined ? undefined : storedRecord.toCrashRecord(stored, now);
  }

  /**
   * Crash records that changed after a revision, oldest change first.
   *
   * @param limit - maximum number of records
   */
  updatesSince(
    revision: number,
    now: number,
    limit: number = Number.POSITIVE_INFINITY,
  ): types.CrashRecordUpdate {
    const changed = [...this.records.values()].filter((stored) => stored.revision > revision);
    changed.sort((left, right) => left.revision - right.revision);
    const included = changed.slice(0, limit);
    const hasMore = included.length < changed.length;
    return {
      revision: hasMore ? (included.at(-1)?.revision ?? revision) : this.currentRevision,
      cases: included.map((stored) => storedRecord.toCrashRecord(stored, now)),
      ...(hasMore && { hasMore }),
    };
  }
}
