/**
 * What one entry believes of the upstream instances: the merge of what each control replica tells it.
 */
import type * as backPressureTypes from '../backPressure/types.js';
import type * as ports from '../kernel/ports.js';
import * as announcement from './announcement.js';
import type * as types from './types.js';

/**
 * A replica that has answered this recently counts; two and a half times the longest wait for an answer,
 * so that one lost answer does not hide a replica.
 */
const SOURCE_LEASE: ports.Milliseconds = 2_500;

/** A replica that started this recently has not heard of every instance yet: two announcement intervals. */
const SOURCE_SETTLES: ports.Milliseconds = 3_000;

/**
 * Replicas drop a silent instance at nearly the same moment, but an entry hears of it from each at another one, up to a
 * second apart. Within this time after one has dropped it, that others still list it says nothing: told to the first,
 * which would take it back, an instance that is gone would live on by hearsay.
 */
const REMOVAL_SPREADS: ports.Milliseconds = 1_500;

/**
 * Instances that said themselves that they leave are remembered this long: one that control has dropped meanwhile and
 * hears of again is listed as ready by whoever has not heard of its notice.
 */
const NOTICE_KEPT: ports.Milliseconds = 600_000;

/** Why nothing is sent to an instance that could take it. */
export const EVACUATED = 'every upstream that could take it is in an evacuated data centre';

/** What happens to an instance; `replaced` where it has started again under its name, so that nothing of it is left. */
export type InstanceEvent = 'found' | 'leaving' | 'rateLimitTold' | 'gone' | 'replaced';

/** One instance as entries use it. */
export interface Instance extends types.Announcement {
  /** Entry's time at which the instance was heard of for the first time. */
  readonly firstAt: number;
  /** Entry's time at which its warm-up ends; in the past where it is warm. */
  readonly coldUntil: number;
  /** Its rate limit as other entries have heard it; undefined where none of them has. */
  readonly rateLimit?: backPressureTypes.KnownRateLimit;
}

/** One change that an entry takes in. */
export interface InstanceChange {
  readonly instance: Instance;
  readonly event: InstanceEvent;
}

/** What one answer of a replica changed, with the revisions that tell how far it was behind. */
export interface ViewNews {
  readonly source: string;
  readonly revisionBefore: number;
  readonly revision: number;
  readonly changes: readonly InstanceChange[];
}

interface Source {
  epoch: string;
  revision: number;
  since: number;
  heardAt: number;
  readonly identities: Set<string>;
  /** When it told that an instance is gone. */
  readonly removedAt: Map<string, ports.Milliseconds>;
}

function isFreshlyRemoved(source: Source, identity: string, now: ports.Milliseconds): boolean {
  const at = source.removedAt.get(identity);
  return at !== undefined && now - at < REMOVAL_SPREADS;
}

function createSource(epoch: string, now: ports.Milliseconds): Source {
  return { epoch, revision: 0, since: now, heardAt: now, identities: new Set(), removedAt: new Map() };
}

/** The newer of a rate limit that is known and one that a record tells. */
function newestRateLimit(
  known: backPressureTypes.KnownRateLimit | undefined,
  { rateLimit: told }: types.InstanceRecord,
  now: number,
): backPressureTypes.KnownRateLimit | undefined {
  const heardAt = told === undefined ? Number.NEGATIVE_INFINITY : now - told.age;
  return known !== undefined && known.heardAt >= heardAt
    ? known
    : told && { perSecond: told.perSecond, heardAt };
}

/** The view; see the module comment. */
export class InstanceView {
  private readonly sources = new Map<string, Source>();
  private readonly instances = new Map<string, Instance>();
  /** The newest start of each name. */
  private readonly byName = new Map<string, Instance>();
  private byService = new Map<string, Instance[]>();
  /** When instances said in their answers that they leave. */
  private readonly notices = new Map<string, ports.Milliseconds>();
  private readonly onNews: (news: ViewNews) => void;
  private evacuated: ReadonlySet<string> = new Set();
  /** What the answer that is being merged has changed so far. */
  private changes: InstanceChange[] = [];

  /**
   * @param onNews - called after each answer that changed anything
   */
  constructor(onNews: (news: ViewNews) => void) {
    this.onNews = onNews;
  }

  /** Where the news of a source should go on from. */
  positionOf(source: string): { readonly epoch: string; readonly revision: number } {
    const known = this.sources.get(source);
    return known === undefined
      ? { epoch: '', revision: 0 }
      : { epoch: known.epoch, revision: known.revision };
  }

  /** Takes a source's news in. */
  merge(sourceName: string, news: types.InstanceNews, now: number): void {
    const known = this.sources.get(sourceName);
    const source = known?.epoch === news.epoch ? known : createSource(news.epoch, now);
    this.sources.set(sourceName, source);
    const revisionBefore = source.revision;
    source.heardAt = now;
    source.revision = news.revision;
    if (news.whole) {
      source.identities.clear();
    }
    for (const record of news.records) {
      source.identities.add(record.identity);
      this.take(record, now);
    }
    for (const identity of news.removed) {
      if (source.identities.delete(identity)) {
        source.removedAt.set(identity, now);
      }
    }
    for (const [identity, at] of source.removedAt) {
      if (now - at >= REMOVAL_SPREADS) {
        source.removedAt.delete(identity);
      }
    }
    this.dropUnheard(now);
    this.forgetNotices(now);
    const { changes } = this;
    this.changes = [];
    if (changes.length > 0) {
      this.onNews({ source: sourceName, revisionBefore, revision: news.revision, changes });
    }
  }

  private note(instance: Instance, event: InstanceEvent): void {
    this.changes.push({ instance, event });
  }

  private take(record: types.InstanceRecord, now: number): void {
    const known = this.instances.get(record.identity);
    const newest = this.byName.get(record.name);
    if (newest !== undefined && newest.born > record.born) {
      return;
    }
    const hasLeft = known?.state === 'leaving' || this.notices.has(record.identity);
    const leaving = record.state === 'leaving' || hasLeft;
    const instance: Instance = {
      ...announcement.of(record),
      state: leaving ? 'leaving' : 'ready',
      firstAt: known?.firstAt ?? now - record.firstAge,
      coldUntil: Math.max(known?.coldUntil ?? 0, now + record.warmUpLeft),
      rateLimit: newestRateLimit(known?.rateLimit, record, now),
    };
    this.instances.set(record.identity, instance);
    this.byName.set(record.name, instance);
    this.byService.clear();
    if (newest !== undefined && newest.born < record.born) {
      this.instances.delete(newest.identity);
      this.note(newest, 'replaced');
    }
    if (known === undefined) {
      this.note(instance, 'found');
    }
    if (leaving && known?.state !== 'leaving') {
      this.note(instance, 'leaving');
    }
    if (instance.rateLimit?.perSecond !== known?.rateLimit?.perSecond) {
      this.note(instance, 'rateLimitTold');
    }
  }

  /**
   * Drops instances that no settled source in contact lists any more. With no such source (control is down,
   * or just started and still empty) nothing is dropped: the last view is better than none.
   */
  private dropUnheard(now: number): void {
    const settled = [...this.sources.values()].filter(
      (source) => now - source.heardAt < SOURCE_LEASE && now - source.since > SOURCE_SETTLES,
    );
    if (settled.length === 0) {
      return;
    }
    const inContact = [...this.sources.values()].filter((source) => now - source.heardAt < SOURCE_LEASE);
    for (const instance of this.instances.values()) {
      if (!inContact.some((source) => source.identities.has(instance.identity))) {
        this.instances.delete(instance.identity);
        this.byName.delete(instance.name);
        this.byService.clear();
        this.note(instance, 'gone');
      }
    }
  }

  /**
   * Instances that some replica in contact lists and the named one does not. While control is cut in halves each
   * hears some of them only; an entry that sees both sides can tell one of the other.
   */
  unlistedBy(sourceName: string, now: number): readonly types.Announcement[] {
    const source = this.sources.get(sourceName);
    if (source === undefined) {
      return [];
    }
    const others = [...this.sources.values()].filter(
      (other) => other !== source && now - other.heardAt < SOURCE_LEASE,
    );
    return [...this.instances.values()]
      .filter(({ identity }) => !source.identities.has(identity) && !isFreshlyRemoved(source, identity, now))
      .filter(({ identity }) => others.some((other) => other.identities.has(identity)))
      .map((instance) => ({
        ...announcement.of(instance),
        warmUpLeft: Math.max(0, instance.coldUntil - now),
      }));
  }

  get(identity: string): Instance | undefined {
    return this.instances.get(identity);
  }

  /**
   * True where an instance has given notice. One that is not heard of any more has not: behind a cut that is said of
   * instances that are well, and a notice is final.
   */
  hasGivenNotice(identity: string): boolean {
    return this.instances.get(identity)?.state === 'leaving';
  }

  /**
   * Takes in that an instance said itself that it leaves, before control tells of it or instead.
   *
   * @returns true where that is news
   */
  noteNotice(identity: string, now: number): boolean {
    const known = this.instances.get(identity);
    const isNews = known?.state === 'ready';
    this.notices.set(identity, now);
    if (isNews) {
      this.instances.set(identity, { ...known, state: 'leaving' });
      this.byName.set(known.name, { ...known, state: 'leaving' });
      this.byService.clear();
    }
    return isNews;
  }

  private forgetNotices(now: number): void {
    for (const [identity, at] of this.notices) {
      if (now - at >= NOTICE_KEPT) {
        this.notices.delete(identity);
      }
    }
  }

  /** Replaces the data centres whose instances are to get nothing new. */
  setEvacuated(dataCentres: readonly string[]): void {
    this.evacuated = new Set(dataCentres);
    this.byService.clear();
  }

  /** True where an instance is to get nothing new because its data centre is evacuated. */
  isEvacuated({ dataCentre }: types.Announcement): boolean {
    return this.evacuated.has(dataCentre);
  }

  /** Why a service has no instance that takes requests. */
  whyNoneOf(service: string): string {
    const known = [...this.instances.values()].filter((instance) => instance.service === service);
    const isHeld = known.some((instance) => instance.state === 'ready' && this.isEvacuated(instance));
    return isHeld ? EVACUATED : 'no upstream is known';
  }

  /** Instances of a service that take requests; of two at one address only the newer incarnation. */
  readyOf(service: string): readonly Instance[] {
    const cached = this.byService.get(service);
    if (cached !== undefined) {
      return cached;
    }
    const newest = new Map<string, Instance>();
    for (const instance of this.instances.values()) {
      const rival = newest.get(instance.address);
      if (rival === undefined || rival.firstAt < instance.firstAt) {
        newest.set(instance.address, instance);
      }
    }
    const ready = [...newest.values()].filter(
      (instance) => instance.service === service && instance.state === 'ready' && !this.isEvacuated(instance),
    );
    this.byService.set(service, ready);
    return ready;
  }
}
