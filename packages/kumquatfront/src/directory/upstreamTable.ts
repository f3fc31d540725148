/**
 * Registry of the upstreams that an entry knows, with their leases, loads and cached prefixes.
 */
import * as labelSelector from '../selectors/labelSelector.js';
import type * as types from './types.js';

/** Current state of one upstream. */
export interface UpstreamRecord {
  readonly announcement: types.Announcement;
  /** Local time at which the lease expires. */
  readonly expiresAt: number;
  /** True from the first announcement that it is draining, for the rest of this incarnation. */
  readonly leaving: boolean;
  readonly load: types.LoadReport | undefined;
  /** Local time at which the load was reported. */
  readonly loadReportedAt: number;
}

interface CacheState {
  sequence: number;
  readonly prefixes: Set<string>;
}

const MAXIMUM_CACHED_PREFIXES = 4_096;
const MAXIMUM_ANNOUNCEMENTS = 5_000;

/** Registry of upstreams; see the module comment. */
export class UpstreamTable {
  private readonly records = new Map<string, UpstreamRecord>();
  /** Latest announcement of each upstream, including those with an expired lease. */
  private readonly latestAnnouncements = new Map<string, types.Announcement>();
  private readonly caches = new Map<string, CacheState>();
  private version = 0;
  private evacuated: ReadonlySet<string> = new Set();
  private readonly candidatesBySelector = new Map<
    string,
    { version: number; records: readonly UpstreamRecord[] }
  >();

  /** Applies an announcement that is `age` milliseconds old; returns true if it was accepted. */
  applyAnnouncement(announcement: types.Announcement, age: number, now: number): boolean {
    this.rememberAnnouncement(announcement);
    const known = this.records.get(announcement.name);
    const previous = known?.announcement;
    if (previous !== undefined && !isNewer(announcement, previous)) {
      return false;
    }
    const sameIncarnation = previous?.incarnation === announcement.incarnation;
    // Draining is final for an incarnation: requests sent after a late or repeated announcement would be cut off.
    const leaving = announcement.leaving || (sameIncarnation && known?.leaving === true);
    const expiresAt = now - age + announcement.lease;
    // An announcement older than its own lease must not add an upstream that has expired.
    if (expiresAt <= now) {
      return false;
    }
    this.records.set(announcement.name, {
      announcement,
      expiresAt,
      leaving,
      load: sameIncarnation ? known?.load : undefined,
      loadReportedAt: sameIncarnation ? (known?.loadReportedAt ?? 0) : 0,
    });
    if (!sameIncarnation) {
      this.caches.delete(announcement.name);
    }
    if (!sameIncarnation || leaving !== known?.leaving || previous.labels !== announcement.labels) {
      this.version += 1;
    }
    return true;
  }

  /**
   * Applies a renewal that is `age` milliseconds old. The announcement that it repeats may itself have arrived with an
   * expired lease, as after a network partition, so it is looked up among all recent announcements.
   */
  applyRenewal(renewal: types.Renewal, age: number, now: number): boolean {
    const announcement = this.latestAnnouncements.get(renewal.name);
    return (
      announcement?.incarnation === renewal.incarnation &&
      this.applyAnnouncement({ ...announcement, sequence: renewal.sequence }, age, now)
    );
  }

  private rememberAnnouncement(announcement: types.Announcement): void {
    const known = this.latestAnnouncements.get(announcement.name);
    if (known !== undefined && !isNewer(announcement, known)) {
      return;
    }
    this.latestAnnouncements.delete(announcement.name);
    this.latestAnnouncements.set(announcement.name, announcement);
    if (this.latestAnnouncements.size > MAXIMUM_ANNOUNCEMENTS) {
      this.latestAnnouncements.delete(this.latestAnnouncements.keys().next().value ?? '');
    }
  }

  /** Applies a load report; never changes whether the upstream is draining. */
  applyLoadReport(report: types.LoadReport, age: number, now: number): boolean {
    const known = this.records.get(report.name);
    if (known?.announcement.incarnation !== report.incarnation) {
      return false;
    }
    if (known.load !== undefined && known.load.sequence >= report.sequence) {
      return false;
    }
    this.records.set(report.name, { ...known, load: report, loadReportedAt: now - age });
    this.version += 1;
    return true;
  }

  /**
   * Applies a cache event. A gap in the sequence clears the known prefixes, because requests must not be routed to an
   * engine for a prefix that it may have evicted.
   */
  applyCacheEvent(event: types.CacheEvent): boolean {
    if (this.records.get(event.name)?.announcement.incarnation !== event.incarnation) {
      return false;
    }
    const state = this.caches.get(event.name) ?? { sequence: 0, prefixes: new Set<string>() };
    if (event.sequence <= state.sequence) {
      return false;
    }
    if (event.sequence !== state.sequence + 1) {
      state.prefixes.clear();
    }
    state.sequence = event.sequence;
    for (const prefix of event.added) {
      state.prefixes.add(prefix);
    }
    for (const prefix of event.removed) {
      state.prefixes.delete(prefix);
    }
    while (state.prefixes.size > MAXIMUM_CACHED_PREFIXES) {
      const [oldest] = state.prefixes;
      state.prefixes.delete(oldest ?? '');
    }
    this.caches.set(event.name, state);
    return true;
  }

  /** True if the engine is known to have cached a prefix. */
  hasPrefix(name: string, prefix: string): boolean {
    return this.caches.get(name)?.prefixes.has(prefix) === true;
  }

  get(name: string): UpstreamRecord | undefined {
    return this.records.get(name);
  }

  all(): readonly UpstreamRecord[] {
    return [...this.records.values()];
  }

  /** Replaces the evacuated data centres, whose upstreams get no new requests. */
  setEvacuated(dataCentres: readonly string[]): void {
    this.evacuated = new Set(dataCentres);
    this.version += 1;
  }

  private acceptsRequests(record: UpstreamRecord): boolean {
    return !record.leaving && !this.evacuated.has(record.announcement.dataCentre);
  }

  /** Returns the upstreams that match a label selector, are not draining and are in no evacuated data centre. */
  candidates(selectorText: string): readonly UpstreamRecord[] {
    const cached = this.candidatesBySelector.get(selectorText);
    if (cached?.version === this.version) {
      return cached.records;
    }
    const parsed = labelSelector.parse(selectorText);
    const records = parsed.err
      ? []
      : this.all().filter(
          (record) =>
            this.acceptsRequests(record) && labelSelector.matches(parsed.val, record.announcement.labels),
        );
    this.candidatesBySelector.set(selectorText, { version: this.version, records });
    return records;
  }

  /** Removes upstreams whose lease has expired; returns their names. */
  expire(now: number): readonly string[] {
    const expired = this.all()
      .filter((record) => record.expiresAt <= now)
      .map((record) => record.announcement.name);
    for (const name of expired) {
      this.records.delete(name);
      this.caches.delete(name);
    }
    if (expired.length > 0) {
      this.version += 1;
    }
    return expired;
  }
}

function isNewer(left: types.Announcement, right: types.Announcement): boolean {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation > right.incarnation;
  }
  return left.sequence > right.sequence;
}
