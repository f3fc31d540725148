/**
 * The directory of upstreams and entries, replicated between entries by gossip. In each round an entry offers its state
 * vector to a few random peers, and both sides send what the other lacks. The announcement of a draining upstream is
 * pushed to every peer at once.
 */
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import * as crashRecordAge from '../quarantine/crashRecordAge.js';
import type * as quarantineTypes from '../quarantine/types.js';
import * as publicationStore from './publicationStore.js';
import type * as types from './types.js';
import * as upstreamTable from './upstreamTable.js';

/** Gossip settings; times in milliseconds. */
export interface DirectorySettings {
  readonly round: number;
  /** Number of peers that receive the state vector in each round. */
  readonly fanout: number;
  /** Time for which an item is kept after it was published. */
  readonly keepFor: number;
  /** Time without an update after which another entry is removed. */
  readonly presenceLease: number;
}

/** Settings and dependencies of the directory. */
export interface DirectoryOptions {
  readonly name: string;
  readonly peerAddress: string;
  /** Increases with every restart of this entry. */
  readonly incarnation: number;
  readonly seeds: readonly string[];
  readonly settings: DirectorySettings;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly peers: ports.PeerTransport;
  readonly log: ports.Log;
  readonly presence: () => types.EntryPresence;
}

/** A gossip message with the address and the state vector of its sender. */
export interface GossipOffer {
  readonly from: string;
  readonly vector: types.StateVector;
  /** False in the answer to an offer, so that two peers do not answer each other endlessly. */
  readonly first: boolean;
}

interface PeerRecord {
  readonly presence: types.EntryPresence;
  readonly lastSeenAt: number;
}

/** Directory of one entry; see the module comment. */
export class Directory {
  readonly table = new upstreamTable.UpstreamTable();
  private readonly options: DirectoryOptions;
  private readonly store: publicationStore.PublicationStore;
  private readonly peersByName = new Map<string, PeerRecord>();
  private readonly fullAnnouncements = new Map<string, { readonly content: string; readonly at: number }>();
  private readonly knownPeerAddresses = new Set<string>();
  private publishedPresence = '';
  private presencePublishedAt = Number.NEGATIVE_INFINITY;
  private readonly updateListeners: (() => void)[] = [];
  private readonly expiryListeners: ((name: string) => void)[] = [];
  private readonly crashRecordListeners: ((record: quarantineTypes.CrashRecord) => void)[] = [];

  constructor(options: DirectoryOptions) {
    this.options = options;
    this.store = new publicationStore.PublicationStore(options.settings.keepFor);
    this.registerHandlers();
    const { timers, settings, random } = options;
    timers.every(
      () => settings.round * (0.75 + random.next() / 2),
      () => {
        this.runGossipRound();
      },
    );
    // An immediate round after a restart completes the list of upstreams within one exchange.
    timers.after(0, () => {
      this.runGossipRound();
    });
  }

  private registerHandlers(): void {
    const { peers } = this.options;
    peers.serve('directory.offer', (parameters, reply) => {
      this.onOffer(parameters as GossipOffer);
      reply(ACKNOWLEDGED);
    });
    peers.serve('directory.extracts', (parameters, reply) => {
      for (const delta of parameters as readonly publicationStore.PublisherDelta[]) {
        this.applyItems(this.store.acceptDelta(delta, this.now()));
      }
      reply(ACKNOWLEDGED);
    });
    peers.serve('directory.push', (parameters, reply) => {
      const items = parameters as readonly types.PublishedItem[];
      this.applyItems(items.filter((item) => this.store.accept(item, this.now())));
      reply(ACKNOWLEDGED);
    });
  }

  private now(): number {
    return this.options.timers.now();
  }

  /** Registers a listener for updates of upstreams and entries. */
  onUpdate(listener: () => void): void {
    this.updateListeners.push(listener);
  }

  /** Registers a listener for the names of upstreams whose lease has expired. */
  onUpstreamExpired(listener: (name: string) => void): void {
    this.expiryListeners.push(listener);
  }

  /** Registers a listener for crash records from other entries. */
  onCrashRecord(listener: (record: quarantineTypes.CrashRecord) => void): void {
    this.crashRecordListeners.push(listener);
  }

  /** Publishes a crash record and pushes it to every entry at once. */
  publishCrashRecord(record: quarantineTypes.CrashRecord): void {
    const { name, incarnation } = this.options;
    const value: types.PublishedValue = { type: 'case', record };
    this.push([this.store.publish(name, incarnation, keyOf(value), value, this.now())]);
  }

  /** Applies an update that an upstream posted to this entry; returns true if it was new. */
  applyUpdate(update: types.UpstreamUpdate): boolean {
    const isNew = this.applyValue(update, 0);
    if (isNew) {
      this.publish(update);
    }
    return isNew;
  }

  private publish(update: types.UpstreamUpdate): void {
    const { name, incarnation } = this.options;
    const value = this.renewalOrFull(update);
    const item = this.store.publish(name, incarnation, keyOf(value), value, this.now());
    const isDraining = update.type === 'announce' && update.announcement.leaving;
    if (isDraining) {
      this.push([item]);
    }
    this.notifyListeners();
  }

  /**
   * Replaces an unchanged announcement by a renewal, which is smaller. The full announcement is published again before
   * other entries discard the previous one.
   */
  private renewalOrFull(update: types.UpstreamUpdate): types.PublishedValue {
    if (update.type !== 'announce') {
      return update;
    }
    const { announcement } = update;
    const { name, incarnation, sequence } = announcement;
    const content = JSON.stringify({ ...announcement, sequence: 0 });
    const last = this.fullAnnouncements.get(name);
    if (last?.content === content && this.now() - last.at < this.options.settings.keepFor / 2) {
      return { type: 'renewal', renewal: { name, incarnation, sequence } };
    }
    this.fullAnnouncements.set(name, { content, at: this.now() });
    return update;
  }

  private push(items: readonly types.PublishedItem[]): void {
    for (const address of this.peerAddresses()) {
      this.options.peers.notify(address, 'directory.push', items);
    }
  }

  private applyValue(value: types.PublishedValue, age: number): boolean {
    switch (value.type) {
      case 'announce':
        return this.table.applyAnnouncement(value.announcement, age, this.now());
      case 'renewal':
        return this.table.applyRenewal(value.renewal, age, this.now());
      case 'load':
        return this.table.applyLoadReport(value.report, age, this.now());
      case 'cache':
        return this.table.applyCacheEvent(value.event);
      case 'presence':
        this.rememberPeerAddress(value.presence.peerAddress);
        this.peersByName.set(value.presence.name, { presence: value.presence, lastSeenAt: this.now() - age });
        return true;
      case 'case':
        for (const listener of this.crashRecordListeners) {
          listener(crashRecordAge.advance(value.record, age));
        }
        return true;
    }
  }

  private applyItems(items: readonly types.PublishedItem[]): void {
    // Announcements first: a load report of an unknown upstream is ignored.
    const ordered = [...items].sort((left, right) => applyOrderOf(left) - applyOrderOf(right));
    for (const item of ordered) {
      this.applyValue(item.value, item.age);
    }
    if (items.length > 0) {
      this.notifyListeners();
    }
  }

  private notifyListeners(): void {
    for (const listener of this.updateListeners) {
      listener();
    }
  }

  private runGossipRound(): void {
    const { settings, peers, peerAddress } = this.options;
    this.publishPresence();
    this.expire();
    const offer: GossipOffer = { from: peerAddress, vector: this.store.stateVector(), first: true };
    for (const address of this.pickPeers(settings.fanout)) {
      peers.notify(address, 'directory.offer', offer);
    }
  }

  /** Publishes the presence of this entry when it has changed, and in time to renew its lease. */
  private publishPresence(): void {
    const { name, incarnation, settings } = this.options;
    const presence = this.options.presence();
    const text = `${presence.state}/${presence.configurationVersion}`;
    if (
      text === this.publishedPresence &&
      this.now() - this.presencePublishedAt < settings.presenceLease / PRESENCES_PER_LEASE
    ) {
      return;
    }
    this.publishedPresence = text;
    this.presencePublishedAt = this.now();
    this.store.publish(name, incarnation, 'presence', { type: 'presence', presence }, this.now());
  }

  /** Pushes the presence of this entry to every peer at once, for a change of state such as draining. */
  announcePresence(): void {
    const { name, incarnation, presence } = this.options;
    const value: types.PublishedValue = { type: 'presence', presence: presence() };
    this.push([this.store.publish(name, incarnation, 'presence', value, this.now())]);
  }

  private expire(): void {
    const now = this.now();
    this.store.expire(now);
    for (const name of this.table.expire(now)) {
      this.fullAnnouncements.delete(name);
      this.options.log.info('upstreamGone', { upstream: name });
      for (const listener of this.expiryListeners) {
        listener(name);
      }
    }
    for (const [name, peer] of this.peersByName) {
      if (now - peer.lastSeenAt > this.options.settings.presenceLease) {
        this.peersByName.delete(name);
      }
    }
  }

  private onOffer(offer: GossipOffer): void {
    const { peers, peerAddress } = this.options;
    const deltas = this.store.deltasSince(offer.vector, this.now());
    if (deltas.length > 0) {
      peers.notify(offer.from, 'directory.extracts', deltas);
    }
    if (offer.first && this.store.isBehind(offer.vector)) {
      const answer: GossipOffer = { from: peerAddress, vector: this.store.stateVector(), first: false };
      peers.notify(offer.from, 'directory.offer', answer);
    }
  }

  private pickPeers(count: number): readonly string[] {
    const unresponsive =
      this.options.random.next() < UNRESPONSIVE_PEER_SHARE ? this.unresponsivePeerAddresses() : [];
    const pool = unresponsive.length > 0 ? unresponsive : [...this.peerAddresses()];
    const picked: string[] = [];
    while (picked.length < count && pool.length > 0) {
      const position = Math.floor(this.options.random.next() * pool.length);
      picked.push(...pool.splice(position, 1));
    }
    return picked;
  }

  /**
   * Returns the addresses of entries whose presence has expired. After a network partition both sides have removed each
   * other; without occasional attempts they would reconnect only through a seed.
   */
  private unresponsivePeerAddresses(): string[] {
    const live = this.peerAddresses();
    return [...this.knownPeerAddresses].filter((address) => !live.has(address));
  }

  private rememberPeerAddress(address: string): void {
    this.knownPeerAddresses.delete(address);
    this.knownPeerAddresses.add(address);
    if (this.knownPeerAddresses.size > MAXIMUM_PEER_ADDRESSES) {
      this.knownPeerAddresses.delete(this.knownPeerAddresses.values().next().value ?? '');
    }
  }

  private peerAddresses(): ReadonlySet<string> {
    const known = [...this.peersByName.values()].map((peer) => peer.presence.peerAddress);
    const addresses = new Set([...this.options.seeds, ...known]);
    addresses.delete(this.options.peerAddress);
    return addresses;
  }

  /** Returns the entries whose presence has not expired, including this one. */
  entries(): readonly types.EntryPresence[] {
    const others = [...this.peersByName.values()]
      .map((peer) => peer.presence)
      .filter((presence) => presence.name !== this.options.name);
    return [this.options.presence(), ...others];
  }
}

const ACKNOWLEDGED = results.Ok(null);

function keyOf(published: types.PublishedValue): string {
  switch (published.type) {
    case 'presence':
      return 'presence';
    case 'case':
      return `case/${published.record.content}`;
    case 'renewal':
      return `renewal/${published.renewal.name}`;
    case 'announce':
      return `announce/${published.announcement.name}`;
    case 'load':
      return `load/${published.report.name}`;
    case 'cache':
      return `cache/${published.event.name}/${published.event.sequence % MAXIMUM_CACHE_EVENTS}`;
  }
}

/** Number of cache events kept for each upstream; a later event replaces the oldest. */
const MAXIMUM_CACHE_EVENTS = 16;
/** Share of the rounds that contact unresponsive entries, if there are any. */
const UNRESPONSIVE_PEER_SHARE = 0.25;
const MAXIMUM_PEER_ADDRESSES = 1_000;

/** Publications of an unchanged presence per lease, so that a lost one does not expire it. */
const PRESENCES_PER_LEASE = 3;

function applyOrderOf(item: types.PublishedItem): number {
  return item.value.type === 'announce' ? 0 : item.sequence;
}
