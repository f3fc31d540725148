/**
 * The upstreams this entry knows: leases, loads and cached prefixes, whoever brought the news.
 */
import * as labelSelector from '../selectors/labelSelector.js';
import type * as types from './types.js';

/** One upstream as known now. */
export interface UpstreamRecord {
  readonly announcement: types.Announcement;
  /** Local time at which the lease ends. */
  readonly expiresAt: number;
  /** True from the first word that it leaves, for the rest of this incarnation. */
  readonly leaving: boolean;
  readonly load: types.LoadReport | undefined;
  /** Local time at which the load was true. */
  readonly loadAt: number;
}

interface CacheView {
  sequence: number;
  readonly prefixes: Set<string>;
}

const CACHED_PREFIXES_KEPT = 4_096;
const CONTENTS_KEPT = 5_000;

/** The table; see the module comment. */
export class UpstreamTable {
  private readonly records = new Map<string, UpstreamRecord>();
  /** Newest announcement heard of each upstream, whether its lease holds or not. */
  private readonly contents = new Map<string, types.Announcement>();
  private readonly caches = new Map<string, CacheView>();
  private version = 0;
  private evacuated: ReadonlySet<string> = new Set();
  private readonly bySelector = new Map<string, { version: number; records: readonly UpstreamRecord[] }>();

  /** Takes an announcement that is `age` milliseconds old; true when it is news. */
  announce(announcement: types.Announcement, age: number, now: number): boolean {
    this.rememberContent(announcement);
    const known = this.records.get(announcement.name);
    const before = known?.announcement;
    if (before !== undefined && !isNewer(announcement, before)) {
      return false;
    }
    const sameLife = before?.incarnation === announcement.incarnation;
    // Once it has said that it leaves, a late or repeated announcement of the same life cannot bring it
    // back: work sent to it then would be cut off.
    const leaving = announcement.leaving || (sameLife && known?.leaving === true);
    const expiresAt = now - age + announcement.lease;
    // News older than its own lease is from before a silence; taking it would bring back the dead.
    if (expiresAt <= now) {
      return false;
    }
    this.records.set(announcement.name, {
      announcement,
      expiresAt,
      leaving,
      load: sameLife ? known?.load : undefined,
      loadAt: sameLife ? (known?.loadAt ?? 0) : 0,
    });
    if (!sameLife) {
      this.caches.delete(announcement.name);
    }
    if (!sameLife || leaving !== known?.leaving || before.labels !== announcement.labels) {
      this.version += 1;
    }
    return true;
  }

  /**
   * Takes word that an announcement was repeated unchanged `age` milliseconds ago. What it repeats may have
   * come too late to hold by itself, after a cut, so it is looked up among all that were ever heard lately.
   */
  renew(renewal: types.Renewal, age: number, now: number): boolean {
    const content = this.contents.get(renewal.name);
    return (
      content?.incarnation === renewal.incarnation &&
      this.announce({ ...content, sequence: renewal.sequence }, age, now)
    );
  }

  private rememberContent(announcement: types.Announcement): void {
    const known = this.contents.get(announcement.name);
    if (known !== undefined && !isNewer(announcement, known)) {
      return;
    }
    this.contents.delete(announcement.name);
    this.contents.set(announcement.name, announcement);
    if (this.contents.size > CONTENTS_KEPT) {
      this.contents.delete(this.contents.keys().next().value ?? '');
    }
  }

  /** Takes a load report; it never changes whether the upstream leaves. */
  report(report: types.LoadReport, age: number, now: number): boolean {
    const known = this.records.get(report.name);
    if (known?.announcement.incarnation !== report.incarnation) {
      return false;
    }
    if (known.load !== undefined && known.load.sequence >= report.sequence) {
      return false;
    }
    this.records.set(report.name, { ...known, load: report, loadAt: now - age });
    this.version += 1;
    return true;
  }

  /**
   * Takes a cache event. After a gap, what was known of the cache is dropped: an evicted prefix would
   * otherwise draw requests to an engine that must compute it again.
   */
  cacheEvent(event: types.CacheEvent): boolean {
    if (this.records.get(event.name)?.announcement.incarnation !== event.incarnation) {
      return false;
    }
    const view = this.caches.get(event.name) ?? { sequence: 0, prefixes: new Set<string>() };
    if (event.sequence <= view.sequence) {
      return false;
    }
    if (event.sequence !== view.sequence + 1) {
      view.prefixes.clear();
    }
    view.sequence = event.sequence;
    for (const prefix of event.added) {
      view.prefixes.add(prefix);
    }
    for (const prefix of event.removed) {
      view.prefixes.delete(prefix);
    }
    while (view.prefixes.size > CACHED_PREFIXES_KEPT) {
      const [oldest] = view.prefixes;
      view.prefixes.delete(oldest ?? '');
    }
    this.caches.set(event.name, view);
    return true;
  }

  /** True where the engine is believed to have a prefix cached. */
  hasPrefix(name: string, prefix: string): boolean {
    return this.caches.get(name)?.prefixes.has(prefix) === true;
  }

  get(name: string): UpstreamRecord | undefined {
    return this.records.get(name);
  }

  all(): readonly UpstreamRecord[] {
    return [...this.records.values()];
  }

  /** Replaces the data centres whose upstreams are to get nothing new. */
  setEvacuated(dataCentres: readonly string[]): void {
    this.evacuated = new Set(dataCentres);
    this.version += 1;
  }

  private takesWork(record: UpstreamRecord): boolean {
    return !record.leaving && !this.evacuated.has(record.announcement.dataCentre);
  }

  /** Upstreams of a label selector that may get new work: leased, not leaving, in no evacuated data centre. */
  candidates(selectorText: string): readonly UpstreamRecord[] {
    const cached = this.bySelector.get(selectorText);
    if (cached?.version === this.version) {
      return cached.records;
    }
    const parsed = labelSelector.parse(selectorText);
    const records = parsed.err
      ? []
      : this.all().filter(
          (record) => this.takesWork(record) && labelSelector.matches(parsed.val, record.announcement.labels),
        );
    this.bySelector.set(selectorText, { version: this.version, records });
    return records;
  }

  /** Forgets upstreams whose lease has ended; returns their names. */
  expire(now: number): readonly string[] {
    const gone = this.all()
      .filter((record) => record.expiresAt <= now)
      .map((record) => record.announcement.name);
    for (const name of gone) {
      this.records.delete(name);
      this.caches.delete(name);
    }
    if (gone.length > 0) {
      this.version += 1;
    }
    return gone;
  }
}

function isNewer(left: types.Announcement, right: types.Announcement): boolean {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation > right.incarnation;
  }
  return left.sequence > right.sequence;
}
