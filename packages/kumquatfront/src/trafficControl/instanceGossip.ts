/**
 * Applies updates of upstream instances to the instance table of a control replica, and propagates them: to other
 * replicas by gossip, to entries through their watches, and to the coordinator by a direct call.
 */
import * as announcementCheck from '../instances/announcementCheck.js';
import type * as instanceTable from '../instances/instanceTable.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as methods from './methods.js';

/** Dependencies and callbacks of {@link InstanceGossip}. */
export interface InstanceGossipOptions {
  readonly table: instanceTable.InstanceTable;
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly peers: ports.PeerTransport;
  readonly peerAddress: string;
  /** Peer addresses of all replicas, including this one. */
  readonly memberAddresses: () => readonly string[];
  readonly notifyEntries: () => void;
  readonly notifyCoordinator: () => void;
}

/** Applies and propagates instance updates at one control replica. */
export class InstanceGossip {
  private readonly options: InstanceGossipOptions;
  private readonly unsentIdentities = new Set<string>();

  constructor(options: InstanceGossipOptions) {
    this.options = options;
  }

  private now(): ports.Milliseconds {
    return this.options.timers.now();
  }

  /** Applies an instance's announcement; updates to replicas and entries have been triggered when this returns. */
  announce(announcement: instanceTypes.Announcement): void {
    const changed = this.options.table.applyAnnouncement(announcement, this.now());
    this.unsentIdentities.add(announcement.identity);
    if (changed) {
      this.options.log.info('instanceHeard', {
        instance: announcement.identity,
        service: announcement.service,
        address: announcement.address,
        software: announcement.softwareVersion,
        state: announcement.state,
        sequence: announcement.sequence,
        warmUpLeft: announcement.warmUpLeft,
      });
      this.propagate();
    }
  }

  /** Applies an instance's termination notice, which states its name and optionally its start time. */
  markDrainingByName(name: string, born: number | undefined): void {
    const identity = this.options.table.markDrainingByName(name, born, this.now());
    if (identity !== undefined) {
      this.propagateDraining(identity);
    }
  }

  /** Applies termination notices reported by an entry, possibly from replicas that cannot reach this one. */
  markDraining(identities: readonly string[]): void {
    const { table } = this.options;
    for (const identity of identities) {
      if (!table.isDrainingOrRemoved(identity) && table.markDraining(identity, this.now())) {
        this.propagateDraining(identity);
      }
    }
  }

  /** Adds instances reported by an entry, which it may know from replicas that cannot reach this one. */
  addReported(announcements: readonly instanceTypes.Announcement[], entry: string): void {
    const { table, log } = this.options;
    const changes = announcementCheck
      .usableRecords(announcements, entry, log)
      .map((announcement) => table.applyReplicaListing(announcement, this.now()));
    if (changes.includes(true)) {
      this.options.notifyEntries();
    }
  }

  /** Removes instances whose addresses refuse connections, as found by an entry. */
  removeCrashed({ instances, entry }: methods.CrashedInstances): void {
    const { table, log, notifyEntries, notifyCoordinator } = this.options;
    const removed = instances.filter((identity) => table.removeCrashed(identity, this.now()));
    if (removed.length > 0) {
      log.info('instancesEnded', { instances: removed.join(' '), reportedBy: entry });
      notifyEntries();
      notifyCoordinator();
    }
  }

  /** Applies an instance's rate limit as reported by an entry. */
  recordRateLimit({ instance, perSecond }: methods.RateLimitUpdate): void {
    const { table, log, notifyEntries } = this.options;
    if (table.recordRateLimit(instance, perSecond, this.now())) {
      log.info('rateLimitHeard', { instance, perSecond });
      notifyEntries();
    }
  }

  /** Treats the instances of a restored data centre as cold. */
  assumeCold(dataCentre: string, warmUpDurationOf: (service: string) => ports.Milliseconds): void {
    const { table, log, notifyEntries, notifyCoordinator } = this.options;
    if (table.assumeCold(dataCentre, warmUpDurationOf, this.now())) {
      log.info('assumedCold', { dataCentre, reason: 'restored' });
      notifyEntries();
      notifyCoordinator();
    }
  }

  /** Merges instance records received from another replica. */
  mergeGossip(records: readonly instanceTypes.InstanceRecord[]): void {
    const { table, log, notifyEntries, notifyCoordinator } = this.options;
    const changes = announcementCheck.usableRecords(records, 'replica', log).map((record) => {
      const { identity, rateLimit } = record;
      const isChanged = table.applyAnnouncement(record, this.now(), record.age, record.firstAge);
      const isLimitChanged =
        rateLimit !== undefined &&
        table.recordRateLimit(identity, rateLimit.perSecond, this.now() - rateLimit.age);
      return isChanged || isLimitChanged;
    });
    if (changes.includes(true)) {
      notifyEntries();
      notifyCoordinator();
    }
  }

  /** Periodic work: sends pending gossip and removes instances whose lease has expired. */
  tick(): void {
    const { table, log } = this.options;
    this.sendGossip();
    if (table.expire(this.now())) {
      log.info('instancesExpired', { revision: table.currentRevision });
    }
  }

  private propagateDraining(identity: string): void {
    this.options.log.info('instanceLeaves', { instance: identity });
    this.unsentIdentities.add(identity);
    this.propagate();
  }

  private propagate(): void {
    this.sendGossip();
    this.options.notifyEntries();
    this.options.notifyCoordinator();
  }

  private sendGossip(): void {
    const { peers, memberAddresses, peerAddress, table } = this.options;
    if (this.unsentIdentities.size === 0) {
      return;
    }
    const records = table.records(this.now(), (identity) => this.unsentIdentities.has(identity));
    this.unsentIdentities.clear();
    for (const address of memberAddresses()) {
      if (address !== peerAddress) {
        peers.notify(address, methods.methods.gossip, { records } satisfies methods.Gossip);
      }
    }
  }
}
