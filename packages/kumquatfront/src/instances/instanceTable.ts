/**
 * Soft state of one control replica: which upstream instances there are. Fed by announcements and by what
 * other replicas heard; read by entries as news since a revision.
 */
import type * as backPressureTypes from '../backPressure/types.js';
import type * as ports from '../kernel/ports.js';
import * as announcements from './announcement.js';
import type * as types from './types.js';

/** Silence after which an instance counts as gone: three announcements lost in a row, and a late fourth. */
export const INSTANCE_LEASE: ports.Milliseconds = 5_000;

/** A leaving instance is kept this long, so that its generations can still be moved off it. */
export const LEAVING_KEPT: ports.Milliseconds = 15_000;

/** Removed identities are remembered this long: well past the seconds by which an announcement may be late. */
const REMOVED_KEPT: ports.Milliseconds = 60_000;

/**
 * A notice of a name that is not known here concerns whatever is heard of under it for this long: announcements come
 * seconds late at most. What is heard later has started anew.
 */
const NOTICE_AWAITS: ports.Milliseconds = 5_000;

/** Announcements of the same warm-up differ by the way they took; what ends this much later is another one. */
const SAME_WARM_UP: ports.Milliseconds = 250;

/** The newest start that was heard of under a name, and when it was heard of last. */
interface NewestStart {
  readonly born: number;
  readonly at: number;
}

interface Held {
  announcement: types.Announcement;
  heardAt: number;
  readonly firstAt: number;
  /** End of its warm-up; in the past where it is warm. */
  coldUntil: number;
  /** What entries have heard of its rate limit. */
  rateLimit?: backPressureTypes.KnownRateLimit;
  revision: number;
}

interface Removed {
  readonly identity: string;
  readonly at: number;
  readonly revision: number;
  /** A removed instance that had only fallen silent may be heard of again; one that left may not. */
  readonly final: boolean;
}

/** The table; see the module comment. */
export class InstanceTable {
  private readonly held = new Map<string, Held>();
  private removed: Removed[] = [];
  /** By name. Kept as long as removed identities, so that an older start stays out after the newer one has gone. */
  private readonly newestStarts = new Map<string, NewestStart>();
  /** Names of which a notice came before any announcement, with its moment. */
  private readonly noticed = new Map<string, number>();
  private revision = 1;
  private lastNotice = 0;
  /** Removals up to this revision are forgotten: a reader that is further behind needs the whole table. */
  private forgottenRevision = 0;
  readonly epoch: string;
  private readonly lease: ports.Milliseconds;

  constructor(epoch: string, lease: ports.Milliseconds = INSTANCE_LEASE) {
    this.epoch = epoch;
    this.lease = lease;
  }

  get currentRevision(): number {
    return this.revision;
  }

  /** Revision at which an instance gave notice last, became cold, or was heard to name a rate limit or none any more. */
  get noticeRevision(): number {
    return this.lastNotice;
  }

  /**
   * Takes an announcement in.
   *
   * @returns true where it changes what entries must know
   */
  hear(announcement: types.Announcement, now: number, age = 0, firstAge = age): boolean {
    const { identity } = announcement;
    const known = this.held.get(identity);
    if (!this.isNewestStart(announcement, now)) {
      return false;
    }
    if (known === undefined) {
      if (this.isNoticed(announcement.name, now)) {
        this.forgetForGood(identity, now);
        return false;
      }
      if (this.removed.some((entry) => entry.identity === identity && entry.final)) {
        return false;
      }
      if (age > this.lease && announcement.state === 'ready') {
        return false;
      }
      this.advance(announcement.state === 'leaving');
      const firstAt = now - firstAge;
      const coldUntil = now + announcement.warmUpLeft;
      this.held.set(identity, {
        announcement,
        heardAt: now - age,
        firstAt,
        coldUntil,
        revision: this.revision,
      });
      this.removed = this.removed.filter((entry) => entry.identity !== identity);
      return true;
    }
    if (announcements.isForeign(known.announcement, announcement)) {
      return false;
    }
    if (announcement.sequence <= known.announcement.sequence && announcement.state === 'ready') {
      return false;
    }
    known.heardAt = Math.max(known.heardAt, now - age);
    // Leaving is final for an incarnation: a delayed announcement from before it must not bring it back.
    const state = known.announcement.state === 'leaving' ? 'leaving' : announcement.state;
    const becameCold = this.noteWarmUp(known, announcement.warmUpLeft, now);
    const changed =
      becameCold || state !== known.announcement.state || announcement.slots !== known.announcement.slots;
    known.announcement = {
      ...announcement,
      state,
      sequence: Math.max(announcement.sequence, known.announcement.sequence),
    };
    if (changed) {
      this.advance(becameCold || state === 'leaving');
      known.revision = this.revision;
    }
    return changed;
  }

  /** Takes in how long an instance stays cold; true where that is news. */
  private noteWarmUp(known: Held, warmUpLeft: ports.Milliseconds, now: number): boolean {
    const coldUntil = now + warmUpLeft;
    const becameCold = warmUpLeft > 0 && coldUntil > known.coldUntil + SAME_WARM_UP;
    known.coldUntil = Math.max(known.coldUntil, coldUntil);
    return becameCold;
  }

  /**
   * Takes the instances of a data centre for cold that may be, though they have not said so yet.
   *
   * @param durationOf - how long the instances of a service stay cold
   * @returns true where entries must know of it
   */
  assumeCold(dataCentre: string, durationOf: (service: string) => ports.Milliseconds, now: number): boolean {
    let changed = false;
    for (const known of this.held.values()) {
      const { service } = known.announcement;
      if (known.announcement.dataCentre === dataCentre && this.noteWarmUp(known, durationOf(service), now)) {
        this.advance(true);
        known.revision = this.revision;
        changed = true;
      }
    }
    return changed;
  }

  /**
   * Takes in what an entry has heard of an instance's rate limit.
   *
   * @param perSecond - requests a second; undefined where the instance does not name a limit any more
   * @param heardAt - when it was heard
   * @returns true where entries must know of it
   */
  noteRateLimit(identity: string, perSecond: number | undefined, heardAt: number): boolean {
    const known = this.held.get(identity);
    if (known === undefined || heardAt <= (known.rateLimit?.heardAt ?? Number.NEGATIVE_INFINITY)) {
      return false;
    }
    const former = known.rateLimit?.perSecond;
    known.rateLimit = { perSecond, heardAt };
    if (perSecond === former) {
      return false;
    }
    // Entries hear at once that a limit begins or ends. An upstream that names another one with every answer must not
    // wake all of them each time.
    this.advance(perSecond === undefined || former === undefined);
    known.revision = this.revision;
    return true;
  }

  private advance(isNotice: boolean): void {
    this.revision += 1;
    if (isNotice) {
      this.lastNotice = this.revision;
    }
  }

  /**
   * False for an incarnation that another one has followed under the same name. The first announcement of a newer
   * start drops the older incarnation: it holds nothing any more, whatever is still on its way from it.
   */
  private isNewestStart({ name, born }: types.Announcement, now: number): boolean {
    const newest = this.newestStarts.get(name);
    if (newest !== undefined && born < newest.born) {
      return false;
    }
    this.newestStarts.set(name, { born, at: now });
    if (newest !== undefined && born > newest.born) {
      this.dropOlder(name, born, now);
    }
    return true;
  }

  private dropOlder(name: string, born: number, now: number): void {
    for (const [identity, { announcement }] of this.held) {
      if (announcement.name === name && announcement.born < born) {
        this.held.delete(identity);
        this.forgetForGood(identity, now);
      }
    }
  }

  private forgetForGood(identity: string, now: number): void {
    this.revision += 1;
    this.removed.push({ identity, at: now, revision: this.revision, final: true });
  }

  private isNoticed(name: string, now: number): boolean {
    const at = this.noticed.get(name);
    return at !== undefined && now - at < NOTICE_AWAITS;
  }

  /** Takes over what another replica is known to list at this moment; true where it changes anything. */
  vouch(announcement: types.Announcement, now: number): boolean {
    const known = this.held.get(announcement.identity);
    if (known === undefined) {
      return this.hear(announcement, now);
    }
    known.heardAt = now;
    return announcement.state === 'leaving' && this.leave(announcement.identity, now);
  }

  /**
   * Marks an instance as leaving, where only its name is told, and perhaps its start.
   *
   * @param born - start of the incarnation that leaves; undefined means the one that is known by the name
   * @returns the identity of the instance where entries must know of it
   */
  leaveByName(name: string, born: number | undefined, now: number): string | undefined {
    const newest = this.newestStarts.get(name)?.born;
    const meant = born ?? newest;
    if (meant === undefined) {
      this.noticed.set(name, now);
      return undefined;
    }
    const identity = announcements.identityOf(name, meant);
    return this.leave(identity, now) ? identity : undefined;
  }

  /** Marks an instance as leaving, where only its identity is told. */
  leave(identity: string, now: number): boolean {
    const known = this.held.get(identity);
    if (known === undefined) {
      this.removed.push({ identity, at: now, revision: this.revision, final: true });
      return false;
    }
    const { announcement } = known;
    return this.hear({ ...announcement, state: 'leaving', sequence: announcement.sequence + 1 }, now);
  }

  /**
   * Drops an instance at whose address nothing listens any more, instead of after its lease: until then every entry
   * would send it work first. An announcement that comes after all brings it back.
   *
   * @returns true where it was listed
   */
  end(identity: string, now: number): boolean {
    const known = this.held.get(identity);
    if (known === undefined) {
      return false;
    }
    this.drop(identity, known, now);
    return true;
  }

  private drop(identity: string, { announcement }: Held, now: number): void {
    this.held.delete(identity);
    this.revision += 1;
    const final = announcement.state === 'leaving';
    this.removed.push({ identity, at: now, revision: this.revision, final });
  }

  /** True where an instance is known to leave, or to be gone. */
  isLeaving(identity: string): boolean {
    const known = this.held.get(identity);
    return known === undefined
      ? this.removed.some((entry) => entry.identity === identity)
      : known.announcement.state === 'leaving';
  }

  /** Drops what has been silent for its lease; true where something was dropped. */
  expire(now: number): boolean {
    let dropped = false;
    for (const [identity, known] of this.held) {
      const leaving = known.announcement.state === 'leaving';
      if (now - known.heardAt > (leaving ? LEAVING_KEPT : this.lease)) {
        this.drop(identity, known, now);
        dropped = true;
      }
    }
    this.forgetRemoved(now);
    this.forgetNames(now);
    return dropped;
  }

  private forgetRemoved(now: number): void {
    const forgotten = this.removed.filter((entry) => now - entry.at >= REMOVED_KEPT);
    this.forgottenRevision = Math.max(this.forgottenRevision, ...forgotten.map(({ revision }) => revision));
    this.removed = this.removed.filter((entry) => now - entry.at < REMOVED_KEPT);
  }

  private forgetNames(now: number): void {
    const held = new Set([...this.held.values()].map(({ announcement }) => announcement.name));
    for (const [name, { at }] of this.newestStarts) {
      if (!held.has(name) && now - at >= REMOVED_KEPT) {
        this.newestStarts.delete(name);
      }
    }
    for (const [name, at] of this.noticed) {
      if (now - at >= NOTICE_AWAITS) {
        this.noticed.delete(name);
      }
    }
  }

  /** All records, or only those of which `wanted` says so. */
  records(now: number, wanted: (identity: string) => boolean = () => true): readonly types.InstanceRecord[] {
    return [...this.held.values()]
      .filter((known) => wanted(known.announcement.identity))
      .map((known) => ({
        ...known.announcement,
        warmUpLeft: Math.max(0, known.coldUntil - now),
        age: now - known.heardAt,
        firstAge: now - known.firstAt,
        ...(known.rateLimit !== undefined && {
          rateLimit: { perSecond: known.rateLimit.perSecond, age: now - known.rateLimit.heardAt },
        }),
      }));
  }

  /** What changed since a revision; everything where the reader's epoch is another one, or it is far behind. */
  newsSince(epoch: string, revision: number, now: number): types.InstanceNews {
    const whole = epoch !== this.epoch || revision < this.forgottenRevision;
    return {
      epoch: this.epoch,
      revision: this.revision,
      whole,
      records: this.records(now, (identity) => whole || (this.held.get(identity)?.revision ?? 0) > revision),
      removed: this.removed.filter((entry) => entry.revision > revision).map((entry) => entry.identity),
    };
  }
}
