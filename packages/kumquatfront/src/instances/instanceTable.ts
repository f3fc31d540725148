/**
 * Soft state of one control replica: the registry of upstream instances. It is updated from announcements and from the
 * listings of other replicas; entries read the changes since a revision.
 */
import type * as backPressureTypes from '../backPressure/types.js';
import type * as ports from '../kernel/ports.js';
import * as announcements from './announcement.js';
import type * as types from './types.js';

/** Time without an announcement after which an instance is removed; tolerates three lost announcements in a row. */
export const INSTANCE_LEASE: ports.Milliseconds = 5_000;

/** Time for which a draining instance is kept after its last announcement, so that its generations can be moved. */
export const DRAINING_RETENTION: ports.Milliseconds = 15_000;

/** Time for which removed identities are kept; longer than the delay of any announcement. */
const REMOVAL_RETENTION: ports.Milliseconds = 60_000;

/**
 * Time for which a termination notice for an unknown name applies to announcements of that name. A later announcement
 * belongs to a new incarnation.
 */
const PENDING_NOTICE_RETENTION: ports.Milliseconds = 5_000;

/**
 * Tolerance when comparing the ends of warm-ups: network delay shifts the end that repeated announcements yield. A
 * warm-up that ends later than this is a new one.
 */
const WARM_UP_END_TOLERANCE: ports.Milliseconds = 250;

/** Maximum number of records in an update, so that it arrives over a narrow link within the timeout of a watch. */
export const MAXIMUM_RECORDS = 60;

/** The newest incarnation of a name, and the time of its last announcement. */
interface NewestIncarnation {
  readonly born: number;
  readonly lastSeenAt: number;
}

interface TableEntry {
  announcement: types.Announcement;
  lastSeenAt: number;
  readonly firstSeenAt: number;
  /** End of the warm-up; in the past if the instance is warm. */
  coldUntil: number;
  /** The rate limit that entries have reported. */
  rateLimit?: backPressureTypes.KnownRateLimit;
  revision: number;
}

interface RemovedInstance {
  readonly identity: string;
  readonly removedAt: number;
  readonly revision: number;
  /** False if the instance may be listed again when it announces itself, as after an expired lease. */
  readonly final: boolean;
}

/** Registry of the upstream instances that one control replica knows. */
export class InstanceTable {
  private readonly entries = new Map<string, TableEntry>();
  private removed: RemovedInstance[] = [];
  /** By name. Kept after the newest incarnation is removed, so that older ones are still rejected. */
  private readonly newestIncarnations = new Map<string, NewestIncarnation>();
  /** Names for which a termination notice arrived before any announcement, with its time. */
  private readonly pendingNotices = new Map<string, number>();
  private revision = 1;
  private lastImmediateRevision = 0;
  /** Removals up to this revision are discarded; a reader that is further behind needs the complete table. */
  private discardedRevision = 0;
  readonly epoch: string;
  private readonly lease: ports.Milliseconds;

  constructor(epoch: string, lease: ports.Milliseconds = INSTANCE_LEASE) {
    this.epoch = epoch;
    this.lease = lease;
  }

  get currentRevision(): number {
    return this.revision;
  }

  /** Last revision that entries must receive at once: a termination notice, a warm-up, a new or lifted rate limit. */
  get immediateRevision(): number {
    return this.lastImmediateRevision;
  }

  /**
   * Applies an announcement.
   *
   * @returns true if entries must be informed of a change
   */
  applyAnnouncement(announcement: types.Announcement, now: number, age = 0, firstAge = age): boolean {
    const { identity } = announcement;
    const known = this.entries.get(identity);
    if (!this.acceptIncarnation(announcement, now)) {
      return false;
    }
    if (known === undefined) {
      if (this.hasPendingNotice(announcement.name, now)) {
        this.removePermanently(identity, now);
        return false;
      }
      if (this.removed.some((removal) => removal.identity === identity && removal.final)) {
        return false;
      }
      if (age > this.lease && announcement.state === 'ready') {
        return false;
      }
      this.advance(announcement.state === 'leaving');
      const firstSeenAt = now - firstAge;
      const coldUntil = now + announcement.warmUpLeft;
      this.entries.set(identity, {
        announcement,
        lastSeenAt: now - age,
        firstSeenAt,
        coldUntil,
        revision: this.revision,
      });
      this.removed = this.removed.filter((removal) => removal.identity !== identity);
      return true;
    }
    if (announcements.isConflicting(known.announcement, announcement)) {
      return false;
    }
    if (announcement.sequence <= known.announcement.sequence && announcement.state === 'ready') {
      return false;
    }
    known.lastSeenAt = Math.max(known.lastSeenAt, now - age);
    // Draining is final for an incarnation: a delayed announcement must not make it ready again.
    const state = known.announcement.state === 'leaving' ? 'leaving' : announcement.state;
    const becameCold = this.recordWarmUp(known, announcement.warmUpLeft, now);
    const { softwareVersion = known.announcement.softwareVersion } = announcement;
    const changed =
      becameCold ||
      state !== known.announcement.state ||
      announcement.slots !== known.announcement.slots ||
      softwareVersion !== known.announcement.softwareVersion;
    known.announcement = {
      ...announcement,
      ...(softwareVersion !== undefined && { softwareVersion }),
      state,
      sequence: Math.max(announcement.sequence, known.announcement.sequence),
    };
    if (changed) {
      this.advance(becameCold || state === 'leaving');
      known.revision = this.revision;
    }
    return changed;
  }

  /** Updates the end of the warm-up; returns true if a new warm-up has begun. */
  private recordWarmUp(known: TableEntry, warmUpLeft: ports.Milliseconds, now: number): boolean {
    const coldUntil = now + warmUpLeft;
    const becameCold = warmUpLeft > 0 && coldUntil > known.coldUntil + WARM_UP_END_TOLERANCE;
    known.coldUntil = Math.max(known.coldUntil, coldUntil);
    return becameCold;
  }

  /**
   * Treats the instances of a data centre as cold before they announce it themselves.
   *
   * @param durationOf - warm-up time of the instances of a service
   * @returns true if entries must be informed of a change
   */
  assumeCold(dataCentre: string, durationOf: (service: string) => ports.Milliseconds, now: number): boolean {
    let changed = false;
    for (const known of this.entries.values()) {
      const { service } = known.announcement;
      if (
        known.announcement.dataCentre === dataCentre &&
        this.recordWarmUp(known, durationOf(service), now)
      ) {
        this.advance(true);
        known.revision = this.revision;
        changed = true;
      }
    }
    return changed;
  }

  /**
   * Records the rate limit of an instance as reported by an entry.
   *
   * @param perSecond - requests per second; undefined if the instance has lifted it
   * @param receivedAt - time at which the entry received it
   * @returns true if entries must be informed of a change
   */
  recordRateLimit(identity: string, perSecond: number | undefined, receivedAt: number): boolean {
    const known = this.entries.get(identity);
    if (known === undefined || receivedAt <= (known.rateLimit?.receivedAt ?? Number.NEGATIVE_INFINITY)) {
      return false;
    }
    const previous = known.rateLimit?.perSecond;
    known.rateLimit = { perSecond, receivedAt };
    if (perSecond === previous) {
      return false;
    }
    // Only the start and the end of a limit are sent at once: an upstream that states a different limit in every
    // response must not wake all entries each time.
    this.advance(perSecond === undefined || previous === undefined);
    known.revision = this.revision;
    return true;
  }

  private advance(isImmediate: boolean): void {
    this.revision += 1;
    if (isImmediate) {
      this.lastImmediateRevision = this.revision;
    }
  }

  /**
   * Records the newest incarnation of a name and removes older ones.
   *
   * @returns false if a newer incarnation of the name is known
   */
  private acceptIncarnation({ name, born }: types.Announcement, now: number): boolean {
    const newest = this.newestIncarnations.get(name);
    if (newest !== undefined && born < newest.born) {
      return false;
    }
    this.newestIncarnations.set(name, { born, lastSeenAt: now });
    if (newest !== undefined && born > newest.born) {
      this.removeOlderIncarnations(name, born, now);
    }
    return true;
  }

  private removeOlderIncarnations(name: string, born: number, now: number): void {
    for (const [identity, { announcement }] of this.entries) {
      if (announcement.name === name && announcement.born < born) {
        this.entries.delete(identity);
        this.removePermanently(identity, now);
      }
    }
  }

  private removePermanently(identity: string, now: number): void {
    this.revision += 1;
    this.removed.push({ identity, removedAt: now, revision: this.revision, final: true });
  }

  private hasPendingNotice(name: string, now: number): boolean {
    const at = this.pendingNotices.get(name);
    return at !== undefined && now - at < PENDING_NOTICE_RETENTION;
  }

  /** Applies an instance that another replica currently lists; returns true if anything changed. */
  applyReplicaListing(announcement: types.Announcement, now: number): boolean {
    const known = this.entries.get(announcement.identity);
    if (known === undefined) {
      return this.applyAnnouncement(announcement, now);
    }
    known.lastSeenAt = now;
    return announcement.state === 'leaving' && this.markDraining(announcement.identity, now);
  }

  /**
   * Marks an instance as draining by its name and, if known, its start time.
   *
   * @param born - start time of the incarnation; undefined selects the newest known one
   * @returns the identity of the instance if entries must be informed, otherwise undefined
   */
  markDrainingByName(name: string, born: number | undefined, now: number): string | undefined {
    const newest = this.newestIncarnations.get(name)?.born;
    const incarnationStart = born ?? newest;
    if (incarnationStart === undefined) {
      this.pendingNotices.set(name, now);
      return undefined;
    }
    const identity = announcements.identityOf(name, incarnationStart);
    return this.markDraining(identity, now) ? identity : undefined;
  }

  /** Marks an instance as draining by its identity; returns true if entries must be informed. */
  markDraining(identity: string, now: number): boolean {
    const known = this.entries.get(identity);
    if (known === undefined) {
      this.removed.push({ identity, removedAt: now, revision: this.revision, final: true });
      return false;
    }
    const { announcement } = known;
    return this.applyAnnouncement(
      { ...announcement, state: 'leaving', sequence: announcement.sequence + 1 },
      now,
    );
  }

  /**
   * Removes an instance whose address refuses connections without waiting for its lease to expire, so that entries stop
   * sending it requests. A later announcement adds it again.
   *
   * @returns true if it was listed
   */
  removeCrashed(identity: string, now: number): boolean {
    const known = this.entries.get(identity);
    if (known === undefined) {
      return false;
    }
    this.remove(identity, known, now);
    return true;
  }

  private remove(identity: string, { announcement }: TableEntry, now: number): void {
    this.entries.delete(identity);
    this.revision += 1;
    const final = announcement.state === 'leaving';
    this.removed.push({ identity, removedAt: now, revision: this.revision, final });
  }

  /** True if an instance is draining or was removed recently. */
  isDrainingOrRemoved(identity: string): boolean {
    const known = this.entries.get(identity);
    return known === undefined
      ? this.removed.some((removal) => removal.identity === identity)
      : known.announcement.state === 'leaving';
  }

  /** Removes instances whose lease has expired; returns true if any was removed. */
  expire(now: number): boolean {
    let removedAny = false;
    for (const [identity, known] of this.entries) {
      const leaving = known.announcement.state === 'leaving';
      if (now - known.lastSeenAt > (leaving ? DRAINING_RETENTION : this.lease)) {
        this.remove(identity, known, now);
        removedAny = true;
      }
    }
    this.discardExpiredRemovals(now);
    this.discardExpiredNames(now);
    return removedAny;
  }

  private discardExpiredRemovals(now: number): void {
    const discarded = this.removed.filter((removal) => now - removal.removedAt >= REMOVAL_RETENTION);
    this.discardedRevision = Math.max(this.discardedRevision, ...discarded.map(({ revision }) => revision));
    this.removed = this.removed.filter((removal) => now - removal.removedAt < REMOVAL_RETENTION);
  }

  private discardExpiredNames(now: number): void {
    const listedNames = new Set([...this.entries.values()].map(({ announcement }) => announcement.name));
    for (const [name, { lastSeenAt: at }] of this.newestIncarnations) {
      if (!listedNames.has(name) && now - at >= REMOVAL_RETENTION) {
        this.newestIncarnations.delete(name);
      }
    }
    for (const [name, at] of this.pendingNotices) {
      if (now - at >= PENDING_NOTICE_RETENTION) {
        this.pendingNotices.delete(name);
      }
    }
  }

  /** Returns the service of an instance; undefined if it is not in the table. */
  serviceOf(identity: string): string | undefined {
    return this.entries.get(identity)?.announcement.service;
  }

  /** Returns all records, or only those that `isIncluded` selects. */
  records(
    now: number,
    isIncluded: (identity: string) => boolean = () => true,
  ): readonly types.InstanceRecord[] {
    return [...this.entries.values()]
      .filter((known) => isIncluded(known.announcement.identity))
      .map((known) => ({
        ...known.announcement,
        warmUpLeft: Math.max(0, known.coldUntil - now),
        age: now - known.lastSeenAt,
        firstAge: now - known.firstSeenAt,
        ...(known.rateLimit !== undefined && {
          rateLimit: { perSecond: known.rateLimit.perSecond, age: now - known.rateLimit.receivedAt },
        }),
      }));
  }

  /**
   * Returns the changes since a revision, or a page of the complete table for another epoch or a reader too far behind.
   *
   * @param listing - where the next page begins, for a reader that is receiving the complete table
   */
  updatesSince(
    epoch: string,
    revision: number,
    now: number,
    listing?: types.ListingPosition,
  ): types.InstanceUpdate {
    const isListing =
      listing !== undefined && epoch === this.epoch && listing.revision >= this.discardedRevision;
    if (isListing) {
      return this.pageAfter(listing, now);
    }
    if (epoch !== this.epoch || revision < this.discardedRevision) {
      return this.pageAfter({ revision: this.revision, after: '' }, now);
    }
    return this.changesSince(revision, now);
  }

  private pageAfter({ revision, after }: types.ListingPosition, now: number): types.InstanceUpdate {
    const remaining = [...this.entries.keys()].filter((identity) => identity > after).sort();
    const page = new Set(remaining.slice(0, MAXIMUM_RECORDS));
    const last = remaining[MAXIMUM_RECORDS - 1];
    const isLast = last === undefined || remaining.length === MAXIMUM_RECORDS;
    return {
      ...{ epoch: this.epoch, revision, whole: true },
      records: this.records(now, (identity) => page.has(identity)),
      removed: [],
      ...(!isLast && { listing: { revision, after: last } }),
    };
  }

  private changesSince(revision: number, now: number): types.InstanceUpdate {
    const revisions = [...this.entries.values()].map((known) => known.revision);
    const changed = revisions.filter((changedAt) => changedAt > revision).sort((left, right) => left - right);
    const hasMore = changed.length > MAXIMUM_RECORDS;
    const upTo = hasMore ? (changed[MAXIMUM_RECORDS - 1] ?? 0) : this.revision;
    const isIncluded = (changedAt: number): boolean => changedAt > revision && changedAt <= upTo;
    return {
      ...{ epoch: this.epoch, revision: upTo, whole: false },
      records: this.records(now, (identity) => isIncluded(this.entries.get(identity)?.revision ?? 0)),
      removed: this.removed
        .filter((removal) => isIncluded(removal.revision))
        .map((removal) => removal.identity),
      ...(hasMore && { hasMore }),
    };
  }
}
