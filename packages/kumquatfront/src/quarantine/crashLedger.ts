/**
 * What one process knows of contents under which upstreams have ended, and its verdict on each.
 *
 * Failure: a request that ends each upstream which begins to run it is resumed elsewhere, comes again from its caller,
 * and again from others; every entry judges its own attempt alone, and within seconds no upstream is left for anybody.
 * Three ends under one content quarantine it. Why three, and why few are held by chance: an end is held against all
 * that ran on the upstream, but chance must hit one content three times within minutes, on three instances, without
 * one answer between; an answer voids all ends before it, and an end that a quarantined content explains counts
 * against no other.
 *
 * Processes tell each other whole cases, which are merged: whatever order they come in, and however often, all come
 * to the same verdict. Everything lapses, and its size is bounded.
 */
import type * as ports from '../kernel/ports.js';
import type * as types from './types.js';

/** Upstreams that must have ended under a content: two happen by chance when several fail at once. */
export const CRASHES_TO_QUARANTINE = 3;

/** After a quarantine has run out a single end brings it back: a mistaken one is over, a just one costs one upstream. */
const CRASHES_TO_RELAPSE = 1;

/** Ends count together while the newest is this old: callers that retry by a backoff come back within minutes. */
const EVIDENCE_KEPT: ports.Milliseconds = 600_000;

/** The first quarantine lasts this long, about the time in which a fault of the upstreams' software is noticed. */
export const FIRST_QUARANTINE: ports.Milliseconds = 3_600_000;

/** Each later one lasts this many times longer: the third relapse comes two days after the first end. */
const QUARANTINE_GROWTH = 6;

/** A content that has been quarantined is remembered for this long after its last end. */
const LAPSES_KEPT: ports.Milliseconds = 48 * 3_600_000;

/** Cases kept at most, some 300 bytes each; a flood of contents that end one upstream each displaces only its like. */
const MOST_CASES = 2_000;

/** Ends kept for one content: more say nothing new. */
const MOST_CRASHES = 8;

interface Case {
  readonly content: string;
  /** Moments by instance. */
  readonly crashes: Map<string, ports.Milliseconds>;
  /** Everything up to this moment is void. */
  voidedAt: ports.Milliseconds;
  quarantinedAt: ports.Milliseconds | undefined;
  /** When it was quarantined by what replicas had agreed on; before all time where it was not. */
  imposedAt: ports.Milliseconds;
  /** Quarantines that have run out. */
  lapses: number;
  revision: number;
  touchedAt: ports.Milliseconds;
}

/** What happened to the quarantine of a content. */
export interface VerdictChange {
  readonly content: string;
  readonly change: 'quarantined' | 'answered' | 'lapsed';
  /** Instances that ended under it, as far as they are known here. */
  readonly instances: readonly string[];
}

/** The ledger; see the module comment. */
export class CrashLedger {
  private readonly cases = new Map<string, Case>();
  private currentRevision = 0;
  private readonly onChange: (change: VerdictChange) => void;

  /**
   * @param onChange - called when a content is quarantined or let go again
   */
  constructor(onChange: (change: VerdictChange) => void = () => undefined) {
    this.onChange = onChange;
  }

  /** Grows with every change of any case. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Contents that are quarantined. */
  get quarantined(): readonly string[] {
    return [...this.cases.values()]
      .filter((known) => known.quarantinedAt !== undefined)
      .map(({ content }) => content);
  }

  verdictOf(content: string): types.Verdict {
    const known = this.cases.get(content);
    if (known === undefined) {
      return 'free';
    }
    if (known.quarantinedAt !== undefined) {
      return 'quarantined';
    }
    return this.countOf(known) > 0 ? 'suspected' : 'free';
  }

  /** Time after which a quarantine runs out; 0 where there is none. */
  timeLeft(content: string, now: number): ports.Milliseconds {
    const known = this.cases.get(content);
    return known?.quarantinedAt === undefined ? 0 : Math.max(0, this.endsAt(known) - now);
  }

  /** Instances that ended under a content. */
  instancesOf(content: string): readonly string[] {
    return [...(this.cases.get(content)?.crashes.keys() ?? [])];
  }

  /** Holds the end of an instance against a content; true where it is news. */
  hold(content: string, instance: string, now: number): boolean {
    return this.merge({ content, crashes: [{ instance, age: 0 }], lapses: 0 }, now);
  }

  /**
   * Notes that a content was answered in whole. What ends each upstream that begins to run it never is, so nothing
   * that was held against it stands.
   *
   * @returns true where anything was
   */
  answered(content: string, now: number): boolean {
    const known = this.cases.get(content);
    if (known === undefined || known.crashes.size === 0) {
      return false;
    }
    return this.merge({ content, crashes: [], voidedAge: 0, lapses: known.lapses }, now);
  }

  /** Quarantines a content whose ends are not known here any more; true where it is news. */
  impose(content: string, now: number): boolean {
    return this.merge({ content, crashes: [], imposedAge: 0, lapses: 0 }, now);
  }

  /** Takes in what another process holds against a content; true where it is news here. */
  merge(record: types.CaseRecord, now: number): boolean {
    const known = this.cases.get(record.content) ?? this.create(record.content, now);
    const before = JSON.stringify(this.contentOf(known));
    known.voidedAt = Math.max(known.voidedAt, now - (record.voidedAge ?? Number.POSITIVE_INFINITY));
    known.imposedAt = Math.max(known.imposedAt, now - (record.imposedAge ?? Number.POSITIVE_INFINITY));
    known.lapses = Math.max(known.lapses, record.lapses);
    for (const { instance, age } of record.crashes) {
      if (!known.crashes.has(instance) && known.crashes.size < MOST_CRASHES) {
        known.crashes.set(instance, now - age);
      }
    }
    this.dropVoid(known);
    this.judge(known);
    if (JSON.stringify(this.contentOf(known)) === before) {
      return false;
    }
    known.touchedAt = now;
    this.currentRevision += 1;
    known.revision = this.currentRevision;
    this.bound();
    return true;
  }

  private create(content: string, now: number): Case {
    const created: Case = {
      content,
      crashes: new Map(),
      voidedAt: Number.NEGATIVE_INFINITY,
      quarantinedAt: undefined,
      imposedAt: Number.NEGATIVE_INFINITY,
      lapses: 0,
      revision: 0,
      touchedAt: now,
    };
    this.cases.set(content, created);
    return created;
  }

  /** What makes a case news; moments are left out, since ages are a little off after each way. */
  private contentOf(known: Case): unknown {
    const { crashes, quarantinedAt, lapses } = known;
    return [[...crashes.keys()].sort(), quarantinedAt !== undefined, lapses];
  }

  private dropVoid(known: Case): void {
    for (const [instance, at] of known.crashes) {
      if (at <= known.voidedAt) {
        known.crashes.delete(instance);
      }
    }
  }

  /**
   * Quarantines a content, or lets it go where what it rested on has become void. Ends that another quarantined content
   * explains are not counted for a new quarantine; they do not end one that stands, or two of the same ends would lift
   * each other.
   */
  private judge(known: Case): void {
    const wasQuarantined = known.quarantinedAt !== undefined;
    const needed = known.lapses > 0 ? CRASHES_TO_RELAPSE : CRASHES_TO_QUARANTINE;
    const isImposed = known.imposedAt > known.voidedAt;
    const stands = wasQuarantined && known.crashes.size >= needed;
    const isQuarantined = isImposed || stands || this.countOf(known) >= needed;
    if (isQuarantined === wasQuarantined) {
      return;
    }
    known.quarantinedAt = isQuarantined ? Math.max(known.imposedAt, ...known.crashes.values()) : undefined;
    this.tell(known, isQuarantined ? 'quarantined' : 'answered');
  }

  private tell(known: Case, change: VerdictChange['change']): void {
    this.onChange({ content: known.content, change, instances: [...known.crashes.keys()] });
  }

  /** Ends that nothing else explains. */
  private countOf(known: Case): number {
    return [...known.crashes.keys()].filter((instance) => !this.isExplained(instance, known)).length;
  }

  /** True where a quarantined content ran on an instance when it ended: one cause is enough. */
  private isExplained(instance: string, except: Case): boolean {
    for (const other of this.cases.values()) {
      if (other !== except && other.quarantinedAt !== undefined && other.crashes.has(instance)) {
        return true;
      }
    }
    return false;
  }

  private endsAt(known: Case): ports.Milliseconds {
    const since = Math.max(known.quarantinedAt ?? 0, ...known.crashes.values());
    return since + FIRST_QUARANTINE * QUARANTINE_GROWTH ** known.lapses;
  }

  /** Lets go what has run out. */
  expire(now: number): void {
    for (const known of this.cases.values()) {
      if (known.quarantinedAt === undefined) {
        const kept = known.lapses > 0 ? LAPSES_KEPT : EVIDENCE_KEPT;
        if (now - known.touchedAt >= kept) {
          this.cases.delete(known.content);
        }
      } else if (now >= this.endsAt(known)) {
        known.quarantinedAt = undefined;
        known.lapses += 1;
        known.voidedAt = now;
        known.touchedAt = now;
        this.tell(known, 'lapsed');
        known.crashes.clear();
      }
    }
  }

  /** The oldest of those that are not quarantined go first. */
  private bound(): void {
    if (this.cases.size <= MOST_CASES) {
      return;
    }
    const byAge = [...this.cases.values()].sort((left, right) => left.touchedAt - right.touchedAt);
    const oldest = byAge.find(({ quarantinedAt }) => quarantinedAt === undefined) ?? byAge[0];
    if (oldest !== undefined) {
      this.cases.delete(oldest.content);
    }
  }

  private recordOf(known: Case, now: number): types.CaseRecord {
    const { content, crashes, voidedAt, imposedAt, lapses } = known;
    return {
      content,
      crashes: [...crashes].map(([instance, at]) => ({ instance, age: Math.round(now - at) })),
      ...(Number.isFinite(voidedAt) && { voidedAge: Math.round(now - voidedAt) }),
      ...(imposedAt > voidedAt && { imposedAge: Math.round(now - imposedAt) }),
      lapses,
    };
  }

  /** The case of a content, to tell others; undefined where there is none. */
  caseOf(content: string, now: number): types.CaseRecord | undefined {
    const known = this.cases.get(content);
    return known === undefined ? undefined : this.recordOf(known, now);
  }

  /** Cases that changed after a revision. */
  newsSince(revision: number, now: number): types.CaseNews {
    const changed = [...this.cases.values()].filter((known) => known.revision > revision);
    return { revision: this.currentRevision, cases: changed.map((known) => this.recordOf(known, now)) };
  }
}
