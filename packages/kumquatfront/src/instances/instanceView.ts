/**
 * The upstream instances as one entry sees them, merged from the updates of all control replicas.
 */
import type * as backPressureTypes from '../backPressure/types.js';
import type * as ports from '../kernel/ports.js';
import * as announcement from './announcement.js';
import type * as types from './types.js';

/** Time without an answer after which a replica is out of contact; tolerates one lost answer. */
const SOURCE_LEASE: ports.Milliseconds = 2_500;

/** Time after which a started replica has received announcements of all instances: two announcement intervals. */
const SOURCE_SETTLING_DELAY: ports.Milliseconds = 3_000;

/**
 * Time within which all replicas report a removal. Until it has passed, the listings of other replicas are not reported
 * back to a replica that removed an instance; it would add the instance again, and a crashed instance would stay listed.
 */
const REMOVAL_PROPAGATION_DELAY: ports.Milliseconds = 1_500;

/**
 * Time for which termination notices are kept. A replica that missed the notice may list the instance as ready again
 * after control has removed it.
 */
const NOTICE_RETENTION: ports.Milliseconds = 600_000;

/** Reason given when all matching instances are in evacuated data centres. */
export const EVACUATED_MESSAGE = 'every upstream that could take it is in an evacuated data centre';

/** A change of an instance; `replaced` means that a newer incarnation has started under its name. */
export type InstanceEvent = 'found' | 'leaving' | 'rateLimitTold' | 'gone' | 'replaced';

/** One instance in the view of an entry. */
export interface Instance extends types.Announcement {
  /** Time of the first announcement, by the clock of the entry. */
  readonly firstSeenAt: number;
  /** End of the warm-up by the clock of the entry; in the past if the instance is warm. */
  readonly coldUntil: number;
  /** The rate limit that other entries have reported; undefined if there is none. */
  readonly rateLimit?: backPressureTypes.KnownRateLimit;
}

/** One change of the view. */
export interface InstanceChange {
  readonly instance: Instance;
  readonly event: InstanceEvent;
}

/** The changes from one answer of a replica, with the revisions of that replica before and after. */
export interface ViewUpdate {
  readonly source: string;
  readonly revisionBefore: number;
  readonly revision: number;
  readonly changes: readonly InstanceChange[];
}

/** Up to where the updates of a source have been received. */
export interface SourcePosition {
  readonly epoch: string;
  readonly revision: number;
  /** Present while the complete list is being received. */
  readonly listing?: types.ListingPosition;
}

interface Source {
  epoch: string;
  revision: number;
  firstSeenAt: number;
  lastSeenAt: number;
  identities: Set<string>;
  /** The complete list while its pages are being received; what was listed before stays listed until then. */
  listing: { readonly position: types.ListingPosition; readonly identities: Set<string> } | undefined;
  /** Times at which it reported instances as removed. */
  readonly removedAt: Map<string, ports.Milliseconds>;
}

function wasRecentlyRemoved(source: Source, identity: string, now: ports.Milliseconds): boolean {
  const at = source.removedAt.get(identity);
  return at !== undefined && now - at < REMOVAL_PROPAGATION_DELAY;
}

function createSource(epoch: string, now: ports.Milliseconds): Source {
  return {
    epoch,
    revision: 0,
    firstSeenAt: now,
    lastSeenAt: now,
    identities: new Set(),
    listing: undefined,
    removedAt: new Map(),
  };
}

/** Returns the newer of the known rate limit and the one in a record. */
function newestRateLimit(
  known: backPressureTypes.KnownRateLimit | undefined,
  { rateLimit: reported }: types.InstanceRecord,
  now: number,
): backPressureTypes.KnownRateLimit | undefined {
  const receivedAt = reported === undefined ? Number.NEGATIVE_INFINITY : now - reported.age;
  return known !== undefined && known.receivedAt >= receivedAt
    ? known
    : reported && { perSecond: reported.perSecond, receivedAt };
}

/** Adds a page of the complete list; the last page replaces what the source listed before. */
function addPage(source: Source, update: types.InstanceUpdate): void {
  const { listing } = source;
  const isContinued = listing?.position.revision === update.revision;
  const identities = isContinued ? listing.identities : new Set<string>();
  for (const record of update.records) {
    identities.add(record.identity);
  }
  if (update.listing === undefined) {
    source.identities = identities;
    source.revision = update.revision;
    source.listing = undefined;
  } else {
    source.listing = { position: update.listing, identities };
  }
}

/** Merged view of the upstream instances; see the module comment. */
export class InstanceView {
  private readonly sources = new Map<string, Source>();
  private readonly instances = new Map<string, Instance>();
  /** The newest incarnation of each name. */
  private readonly newestByName = new Map<string, Instance>();
  private readyByService = new Map<string, Instance[]>();
  /** Times at which instances announced their termination in a response. */
  private readonly terminationNotices = new Map<string, ports.Milliseconds>();
  private readonly onUpdate: (update: ViewUpdate) => void;
  private evacuated: ReadonlySet<string> = new Set();
  /** Changes from the update that is being merged. */
  private changes: InstanceChange[] = [];

  /**
   * @param onUpdate - called after each merged update that changed anything
   */
  constructor(onUpdate: (update: ViewUpdate) => void) {
    this.onUpdate = onUpdate;
  }

  /** Returns the position from which to request the next update of a source. */
  positionOf(source: string): SourcePosition {
    const known = this.sources.get(source);
    if (known === undefined) {
      return { epoch: '', revision: 0 };
    }
    const { epoch, revision, listing } = known;
    return { epoch, revision, ...(listing !== undefined && { listing: listing.position }) };
  }

  /** Merges an update of a source. */
  merge(sourceName: string, update: types.InstanceUpdate, now: number): void {
    const known = this.sources.get(sourceName);
    const source = known?.epoch === update.epoch ? known : createSource(update.epoch, now);
    this.sources.set(sourceName, source);
    const revisionBefore = source.revision;
    source.lastSeenAt = now;
    if (!update.whole) {
      source.revision = update.revision;
    }
    for (const record of update.records) {
      source.identities.add(record.identity);
      this.applyRecord(record, now);
    }
    if (update.whole) {
      addPage(source, update);
    }
    for (const identity of update.removed) {
      if (source.identities.delete(identity)) {
        source.removedAt.set(identity, now);
      }
    }
    for (const [identity, at] of source.removedAt) {
      if (now - at >= REMOVAL_PROPAGATION_DELAY) {
        source.removedAt.delete(identity);
      }
    }
    this.removeUnlisted(now);
    this.discardExpiredNotices(now);
    const { changes } = this;
    this.changes = [];
    if (changes.length > 0) {
      this.onUpdate({ source: sourceName, revisionBefore, revision: update.revision, changes });
    }
  }

  private recordChange(instance: Instance, event: InstanceEvent): void {
    this.changes.push({ instance, event });
  }

  private applyRecord(record: types.InstanceRecord, now: number): void {
    const known = this.instances.get(record.identity);
    const newest = this.newestByName.get(record.name);
    if (newest !== undefined && newest.born > record.born) {
      return;
    }
    const wasLeaving = known?.state === 'leaving' || this.terminationNotices.has(record.identity);
    const leaving = record.state === 'leaving' || wasLeaving;
    const softwareVersion = known?.softwareVersion ?? record.softwareVersion;
    const instance: Instance = {
      ...announcement.fromRecord(record),
      ...(softwareVersion !== undefined && { softwareVersion }),
      state: leaving ? 'leaving' : 'ready',
      firstSeenAt: known?.firstSeenAt ?? now - record.firstAge,
      coldUntil: Math.max(known?.coldUntil ?? 0, now + record.warmUpLeft),
      rateLimit: newestRateLimit(known?.rateLimit, record, now),
    };
    this.instances.set(record.identity, instance);
    this.newestByName.set(record.name, instance);
    this.readyByService.clear();
    if (newest !== undefined && newest.born < record.born) {
      this.instances.delete(newest.identity);
      this.recordChange(newest, 'replaced');
    }
    if (known === undefined) {
      this.recordChange(instance, 'found');
    }
    if (leaving && known?.state !== 'leaving') {
      this.recordChange(instance, 'leaving');
    }
    if (instance.rateLimit?.perSecond !== known?.rateLimit?.perSecond) {
      this.recordChange(instance, 'rateLimitTold');
    }
  }

  /**
   * Removes instances that no source in contact lists. Without a settled source in contact (control is down, or has just
   * started and is still empty) nothing is removed, so that requests continue on the last known instances.
   */
  private removeUnlisted(now: number): void {
    const settled = [...this.sources.values()].filter(
      (source) =>
        now - source.lastSeenAt < SOURCE_LEASE &&
        now - source.firstSeenAt > SOURCE_SETTLING_DELAY &&
        source.listing === undefined,
    );
    if (settled.length === 0) {
      return;
    }
    const inContact = [...this.sources.values()].filter((source) => now - source.lastSeenAt < SOURCE_LEASE);
    for (const instance of this.instances.values()) {
      if (!inContact.some((source) => source.identities.has(instance.identity))) {
        this.instances.delete(instance.identity);
        this.newestByName.delete(instance.name);
        this.readyByService.clear();
        this.recordChange(instance, 'gone');
      }
    }
  }

  /**
   * Returns the instances that another replica in contact lists and the named one does not. In a network partition each
   * side of control receives only some announcements; an entry that reaches both sides forwards the missing ones.
   */
  unlistedBy(sourceName: string, now: number): readonly types.Announcement[] {
    const source = this.sources.get(sourceName);
    if (source === undefined || source.listing !== undefined) {
      return [];
    }
    const others = [...this.sources.values()].filter(
      (other) => other !== source && now - other.lastSeenAt < SOURCE_LEASE,
    );
    return [...this.instances.values()]
      .filter(
        ({ identity }) => !source.identities.has(identity) && !wasRecentlyRemoved(source, identity, now),
      )
      .filter(({ identity }) => others.some((other) => other.identities.has(identity)))
      .map((instance) => ({
        ...announcement.fromRecord(instance),
        warmUpLeft: Math.max(0, instance.coldUntil - now),
      }));
  }

  get(identity: string): Instance | undefined {
    return this.instances.get(identity);
  }

  /**
   * True if an instance has given notice of its termination. A removed instance does not count: in a network partition
   * healthy instances are removed too, and a notice is final.
   */
  isTerminating(identity: string): boolean {
    return this.instances.get(identity)?.state === 'leaving';
  }

  /**
   * Records the termination notice that an instance gave in a response, independently of control.
   *
   * @returns true if the instance was ready until then
   */
  recordTerminationNotice(identity: string, now: number): boolean {
    const known = this.instances.get(identity);
    const wasReady = known?.state === 'ready';
    this.terminationNotices.set(identity, now);
    if (wasReady) {
      this.instances.set(identity, { ...known, state: 'leaving' });
      this.newestByName.set(known.name, { ...known, state: 'leaving' });
      this.readyByService.clear();
    }
    return wasReady;
  }

  private discardExpiredNotices(now: number): void {
    for (const [identity, at] of this.terminationNotices) {
      if (now - at >= NOTICE_RETENTION) {
        this.terminationNotices.delete(identity);
      }
    }
  }

  /** Replaces the evacuated data centres, whose instances get no new requests. */
  setEvacuated(dataCentres: readonly string[]): void {
    this.evacuated = new Set(dataCentres);
    this.readyByService.clear();
  }

  /** True if an instance gets no new requests because its data centre is evacuated. */
  isEvacuated({ dataCentre }: types.Announcement): boolean {
    return this.evacuated.has(dataCentre);
  }

  /** Returns the reason why no instance of a service takes requests. */
  unavailabilityReason(service: string): string {
    const known = [...this.instances.values()].filter((instance) => instance.service === service);
    const hasEvacuated = known.some((instance) => instance.state === 'ready' && this.isEvacuated(instance));
    return hasEvacuated ? EVACUATED_MESSAGE : 'no upstream is known';
  }

  /** Returns the instances of all services that take requests. */
  ready(): readonly Instance[] {
    return [...this.instances.values()].filter(
      (instance) => instance.state === 'ready' && !this.isEvacuated(instance),
    );
  }

  /** Returns the instances of a service that take requests; of two at one address only the newer one. */
  readyOf(service: string): readonly Instance[] {
    const cached = this.readyByService.get(service);
    if (cached !== undefined) {
      return cached;
    }
    const newest = new Map<string, Instance>();
    for (const instance of this.instances.values()) {
      const incumbent = newest.get(instance.address);
      if (incumbent === undefined || incumbent.firstSeenAt < instance.firstSeenAt) {
        newest.set(instance.address, instance);
      }
    }
    const ready = [...newest.values()].filter(
      (instance) => instance.service === service && instance.state === 'ready' && !this.isEvacuated(instance),
    );
    this.readyByService.set(service, ready);
    return ready;
  }
}
