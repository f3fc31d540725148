/**
 * Soft state of one control replica: which upstream instances there are. Fed by announcements and by what
 * other replicas heard; read by entries as news since a revision.
 */
import type * as ports from '../kernel/ports.js';
import type * as types from './types.js';

/** Silence after which an instance counts as gone: three announcements lost in a row, and a late fourth. */
export const INSTANCE_LEASE: ports.Milliseconds = 5_000;

/** A leaving instance is kept this long, so that its generations can still be moved off it. */
export const LEAVING_KEPT: ports.Milliseconds = 15_000;

/** Removed identities are remembered this long: well past the seconds by which an announcement may be late. */
const REMOVED_KEPT: ports.Milliseconds = 60_000;

interface Held {
  announcement: types.Announcement;
  heardAt: number;
  readonly firstAt: number;
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
  private revision = 1;
  private readonly epoch: string;
  private readonly lease: ports.Milliseconds;

  constructor(epoch: string, lease: ports.Milliseconds = INSTANCE_LEASE) {
    this.epoch = epoch;
    this.lease = lease;
  }

  get currentRevision(): number {
    return this.revision;
  }

  /**
   * Takes an announcement in.
   *
   * @returns true where it changes what entries must know
   */
  hear(announcement: types.Announcement, now: number, age = 0, firstAge = age): boolean {
    const { identity } = announcement;
    const known = this.held.get(identity);
    if (known === undefined) {
      if (this.removed.some((entry) => entry.identity === identity && entry.final)) {
        return false;
      }
      if (age > this.lease && announcement.state === 'ready') {
        return false;
      }
      this.revision += 1;
      const firstAt = now - firstAge;
      this.held.set(identity, { announcement, heardAt: now - age, firstAt, revision: this.revision });
      this.removed = this.removed.filter((entry) => entry.identity !== identity);
      return true;
    }
    if (announcement.sequence <= known.announcement.sequence && announcement.state === 'ready') {
      return false;
    }
    known.heardAt = Math.max(known.heardAt, now - age);
    // Leaving is final for an incarnation: a delayed announcement from before it must not bring it back.
    const state = known.announcement.state === 'leaving' ? 'leaving' : announcement.state;
    const changed = state !== known.announcement.state || announcement.slots !== known.announcement.slots;
    known.announcement = {
      ...announcement,
      state,
      sequence: Math.max(announcement.sequence, known.announcement.sequence),
    };
    if (changed) {
      this.revision += 1;
      known.revision = this.revision;
    }
    return changed;
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
        this.held.delete(identity);
        this.revision += 1;
        this.removed.push({ identity, at: now, revision: this.revision, final: leaving });
        dropped = true;
      }
    }
    this.removed = this.removed.filter((entry) => now - entry.at < REMOVED_KEPT);
    return dropped;
  }

  /** All records, or only those of which `wanted` says so. */
  records(now: number, wanted: (identity: string) => boolean = () => true): readonly types.InstanceRecord[] {
    return [...this.held.values()]
      .filter((known) => wanted(known.announcement.identity))
      .map((known) => ({
        ...known.announcement,
        age: now - known.heardAt,
        firstAge: now - known.firstAt,
      }));
  }

  /** What changed since a revision; everything where the reader's epoch is another one. */
  newsSince(epoch: string, revision: number, now: number): types.InstanceNews {
    const whole = epoch !== this.epoch || this.removed.some((entry) => now - entry.at > REMOVED_KEPT / 2);
    return {
      epoch: this.epoch,
      revision: this.revision,
      whole,
      records: this.records(now, (identity) => whole || (this.held.get(identity)?.revision ?? 0) > revision),
      removed: this.removed.filter((entry) => entry.revision > revision).map((entry) => entry.identity),
    };
  }
}
