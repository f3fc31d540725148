/**
 * How one control replica takes in what it hears of upstream instances, and passes it on: to the other replicas by
 * gossip, to entries by their watches, to the coordinator at once.
 */
import type * as instanceTable from '../instances/instanceTable.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as methods from './methods.js';

/** What it is made from. */
export interface InstanceSpreadOptions {
  readonly table: instanceTable.InstanceTable;
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly peers: ports.PeerTransport;
  readonly peerAddress: string;
  /** Addresses of all replicas, this one included. */
  readonly members: () => readonly string[];
  readonly wakeEntries: () => void;
  readonly wakeCoordinator: () => void;
}

/** The instances as one replica hears of them; see the module comment. */
export class InstanceSpread {
  private readonly options: InstanceSpreadOptions;
  private readonly unsent = new Set<string>();

  constructor(options: InstanceSpreadOptions) {
    this.options = options;
  }

  private now(): ports.Milliseconds {
    return this.options.timers.now();
  }

  /** Takes an instance's announcement; it is on its way to all entries when this returns. */
  announce(announcement: instanceTypes.Announcement): void {
    const changed = this.options.table.hear(announcement, this.now());
    this.unsent.add(announcement.identity);
    if (changed) {
      this.options.log.info('instanceHeard', {
        instance: announcement.identity,
        service: announcement.service,
        address: announcement.address,
        state: announcement.state,
        sequence: announcement.sequence,
        warmUpLeft: announcement.warmUpLeft,
      });
      this.spread();
    }
  }

  /** Takes an instance's notice that it leaves, which gives its name and perhaps its start. */
  leaveByName(name: string, born: number | undefined): void {
    const identity = this.options.table.leaveByName(name, born, this.now());
    if (identity !== undefined) {
      this.spreadLeaving(identity);
    }
  }

  /** Takes notices that an entry has heard of, perhaps from replicas that are cut off from this one. */
  leave(identities: readonly string[]): void {
    const { table } = this.options;
    for (const identity of identities) {
      if (!table.isLeaving(identity) && table.leave(identity, this.now())) {
        this.spreadLeaving(identity);
      }
    }
  }

  /** Takes instances that an entry knows from other replicas, which may be cut off from this one. */
  vouch(announcements: readonly instanceTypes.Announcement[]): void {
    const changes = announcements.map((announcement) => this.options.table.vouch(announcement, this.now()));
    if (changes.includes(true)) {
      this.options.wakeEntries();
    }
  }

  /** Drops instances at whose addresses an entry found that nothing listens any more. */
  end(identities: readonly string[]): void {
    const { table, log, wakeEntries, wakeCoordinator } = this.options;
    const dropped = identities.filter((identity) => table.end(identity, this.now()));
    if (dropped.length > 0) {
      log.info('instancesEnded', { instances: dropped.join(' ') });
      wakeEntries();
      wakeCoordinator();
    }
  }

  /** Takes what an entry has heard of an instance's rate limit. */
  hearRateLimit({ instance, perSecond }: methods.HeardRateLimit): void {
    const { table, log, wakeEntries } = this.options;
    if (table.noteRateLimit(instance, perSecond, this.now())) {
      log.info('rateLimitHeard', { instance, perSecond });
      wakeEntries();
    }
  }

  /** Takes the instances of a data centre for cold that has been restored. */
  restored(dataCentre: string, durationOf: (service: string) => ports.Milliseconds): void {
    const { table, log, wakeEntries, wakeCoordinator } = this.options;
    if (table.assumeCold(dataCentre, durationOf, this.now())) {
      log.info('assumedCold', { dataCentre, reason: 'restored' });
      wakeEntries();
      wakeCoordinator();
    }
  }

  /** Takes in what another replica has heard. */
  hear(records: readonly instanceTypes.InstanceRecord[]): void {
    const { table, wakeEntries, wakeCoordinator } = this.options;
    const changes = records.map((record) => {
      const { identity, rateLimit } = record;
      const isNews = table.hear(record, this.now(), record.age, record.firstAge);
      const isLimitNews =
        rateLimit !== undefined &&
        table.noteRateLimit(identity, rateLimit.perSecond, this.now() - rateLimit.age);
      return isNews || isLimitNews;
    });
    if (changes.includes(true)) {
      wakeEntries();
      wakeCoordinator();
    }
  }

  /** Called several times a second: passes on what is new, and drops what has been silent for its lease. */
  beat(): void {
    const { table, log } = this.options;
    this.sendGossip();
    if (table.expire(this.now())) {
      log.info('instancesExpired', { revision: table.currentRevision });
    }
  }

  private spreadLeaving(identity: string): void {
    this.options.log.info('instanceLeaves', { instance: identity });
    this.unsent.add(identity);
    this.spread();
  }

  private spread(): void {
    this.sendGossip();
    this.options.wakeEntries();
    this.options.wakeCoordinator();
  }

  private sendGossip(): void {
    const { peers, members, peerAddress, table } = this.options;
    if (this.unsent.size === 0) {
      return;
    }
    const records = table.records(this.now(), (identity) => this.unsent.has(identity));
    this.unsent.clear();
    for (const address of members()) {
      if (address !== peerAddress) {
        peers.notify(address, methods.methods.gossip, { records } satisfies methods.Gossip);
      }
    }
  }
}
