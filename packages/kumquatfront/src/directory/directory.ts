/**
 * The directory: what this entry knows of upstreams and of other entries, and how entries tell each other.
 * Each round an entry offers its state vector to a few random peers, and both sides send what the other
 * lacks. An upstream that leaves is pushed to every peer at once.
 */
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import * as caseAge from '../quarantine/caseAge.js';
import type * as quarantineTypes from '../quarantine/types.js';
import * as publicationStore from './publicationStore.js';
import type * as types from './types.js';
import * as upstreamTable from './upstreamTable.js';

/** Timing and spread of the directory; times in milliseconds. */
export interface DirectorySettings {
  readonly round: number;
  /** Peers that are offered the vector each round. */
  readonly fanout: number;
  /** Time an item is kept after it was published. */
  readonly keepFor: number;
  /** Time without news after which another entry counts as gone. */
  readonly presenceLease: number;
}

/** What the directory is made from. */
export interface DirectoryOptions {
  readonly name: string;
  readonly peerAddress: string;
  /** Grows with every restart of this entry. */
  readonly incarnation: number;
  readonly seeds: readonly string[];
  readonly settings: DirectorySettings;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly peers: ports.PeerTransport;
  readonly log: ports.Log;
  readonly presence: () => types.EntryPresence;
}

/** A message of one round: who offers, and what it knows. */
export interface Offer {
  readonly from: string;
  readonly vector: types.StateVector;
  /** False in the answer to an offer, so that two peers do not offer for ever. */
  readonly first: boolean;
}

interface PeerRecord {
  readonly presence: types.EntryPresence;
  readonly heardAt: number;
}

/** The directory of one entry; see the module comment. */
export class Directory {
  readonly table = new upstreamTable.UpstreamTable();
  private readonly options: DirectoryOptions;
  private readonly store: publicationStore.PublicationStore;
  private readonly peersByName = new Map<string, PeerRecord>();
  private readonly publishedWhole = new Map<string, { readonly content: string; readonly at: number }>();
  private readonly everHeard = new Set<string>();
  private presenceText = '';
  private presenceAt = Number.NEGATIVE_INFINITY;
  private readonly listeners: (() => void)[] = [];
  private readonly goneListeners: ((name: string) => void)[] = [];
  private readonly caseListeners: ((record: quarantineTypes.CaseRecord) => void)[] = [];

  constructor(options: DirectoryOptions) {
    this.options = options;
    this.store = new publicationStore.PublicationStore(options.settings.keepFor);
    this.serve();
    const { timers, settings, random } = options;
    timers.every(
      () => settings.round * (0.75 + random.next() / 2),
      () => {
        this.runRound();
      },
    );
    // Asking at once after a restart makes the list of upstreams whole within one exchange.
    timers.after(0, () => {
      this.runRound();
    });
  }

  private serve(): void {
    const { peers } = this.options;
    peers.serve('directory.offer', (parameters, reply) => {
      this.onOffer(parameters as Offer);
      reply(ACKNOWLEDGED);
    });
    peers.serve('directory.extracts', (parameters, reply) => {
      for (const extract of parameters as readonly publicationStore.Extract[]) {
        this.absorb(this.store.acceptExtract(extract, this.now()));
      }
      reply(ACKNOWLEDGED);
    });
    peers.serve('directory.push', (parameters, reply) => {
      const items = parameters as readonly types.PublishedItem[];
      this.absorb(items.filter((item) => this.store.accept(item, this.now())));
      reply(ACKNOWLEDGED);
    });
  }

  private now(): number {
    return this.options.timers.now();
  }

  /** Calls back after any news of upstreams. */
  onNews(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Calls back with the name of an upstream whose lease has ended. */
  onGone(listener: (name: string) => void): void {
    this.goneListeners.push(listener);
  }

  /** Calls back with what other entries hold against contents. */
  onCase(listener: (record: quarantineTypes.CaseRecord) => void): void {
    this.caseListeners.push(listener);
  }

  /** Tells every entry at once what is held against a content. */
  publishCase(record: quarantineTypes.CaseRecord): void {
    const { name, incarnation } = this.options;
    const value: types.PublishedValue = { type: 'case', record };
    this.push([this.store.publish(name, incarnation, keyOf(value), value, this.now())]);
  }

  /** Takes news that an upstream posted to this entry. */
  takeNews(news: types.UpstreamNews): boolean {
    const fresh = this.apply(news, 0);
    if (fresh) {
      this.publish(news);
    }
    return fresh;
  }

  private publish(news: types.UpstreamNews): void {
    const { name, incarnation } = this.options;
    const value = this.shortened(news);
    const item = this.store.publish(name, incarnation, keyOf(value), value, this.now());
    const leaves = news.type === 'announce' && news.announcement.leaving;
    if (leaves) {
      this.push([item]);
    }
    this.notifyListeners();
  }

  /**
   * An announcement that repeats the last one travels as a renewal, a quarter of its size; the whole one is
   * published again before the former leaves the stores of others.
   */
  private shortened(news: types.UpstreamNews): types.PublishedValue {
    if (news.type !== 'announce') {
      return news;
    }
    const { announcement } = news;
    const { name, incarnation, sequence } = announcement;
    const content = JSON.stringify({ ...announcement, sequence: 0 });
    const last = this.publishedWhole.get(name);
    if (last?.content === content && this.now() - last.at < this.options.settings.keepFor / 2) {
      return { type: 'renewal', renewal: { name, incarnation, sequence } };
    }
    this.publishedWhole.set(name, { content, at: this.now() });
    return news;
  }

  private push(items: readonly types.PublishedItem[]): void {
    for (const address of this.peerAddresses()) {
      this.options.peers.notify(address, 'directory.push', items);
    }
  }

  private apply(value: types.PublishedValue, age: number): boolean {
    switch (value.type) {
      case 'announce':
        return this.table.announce(value.announcement, age, this.now());
      case 'renewal':
        return this.table.renew(value.renewal, age, this.now());
      case 'load':
        return this.table.report(value.report, age, this.now());
      case 'cache':
        return this.table.cacheEvent(value.event);
      case 'presence':
        this.remember(value.presence.peerAddress);
        this.peersByName.set(value.presence.name, { presence: value.presence, heardAt: this.now() - age });
        return true;
      case 'case':
        for (const listener of this.caseListeners) {
          listener(caseAge.after(value.record, age));
        }
        return true;
    }
  }

  private absorb(items: readonly types.PublishedItem[]): void {
    // Announcements first: a load report of an upstream that is not known yet would be lost.
    const ordered = [...items].sort((left, right) => rankOf(left) - rankOf(right));
    for (const item of ordered) {
      this.apply(item.value, item.age);
    }
    if (items.length > 0) {
      this.notifyListeners();
    }
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) {
      listener();
    }
  }

  private runRound(): void {
    const { settings, peers, peerAddress } = this.options;
    this.publishPresence();
    this.expire();
    const offer: Offer = { from: peerAddress, vector: this.store.vector(), first: true };
    for (const address of this.pickPeers(settings.fanout)) {
      peers.notify(address, 'directory.offer', offer);
    }
  }

  /** Publishes the presence when its state changed, and often enough to keep its lease. */
  private publishPresence(): void {
    const { name, incarnation, settings } = this.options;
    const presence = this.options.presence();
    const text = `${presence.state}/${presence.configurationVersion}`;
    if (
      text === this.presenceText &&
      this.now() - this.presenceAt < settings.presenceLease / PRESENCES_IN_LEASE
    ) {
      return;
    }
    this.presenceText = text;
    this.presenceAt = this.now();
    this.store.publish(name, incarnation, 'presence', { type: 'presence', presence }, this.now());
  }

  /** Tells every peer this entry's presence at once; for a change of state such as draining. */
  announcePresence(): void {
    const { name, incarnation, presence } = this.options;
    const value: types.PublishedValue = { type: 'presence', presence: presence() };
    this.push([this.store.publish(name, incarnation, 'presence', value, this.now())]);
  }

  private expire(): void {
    const now = this.now();
    this.store.expire(now);
    for (const name of this.table.expire(now)) {
      this.publishedWhole.delete(name);
      this.options.log.info('upstreamGone', { upstream: name });
      for (const listener of this.goneListeners) {
        listener(name);
      }
    }
    for (const [name, peer] of this.peersByName) {
      if (now - peer.heardAt > this.options.settings.presenceLease) {
        this.peersByName.delete(name);
      }
    }
  }

  private onOffer(offer: Offer): void {
    const { peers, peerAddress } = this.options;
    const extracts = this.store.missingFrom(offer.vector, this.now());
    if (extracts.length > 0) {
      peers.notify(offer.from, 'directory.extracts', extracts);
    }
    if (offer.first && this.store.isBehind(offer.vector)) {
      const answer: Offer = { from: peerAddress, vector: this.store.vector(), first: false };
      peers.notify(offer.from, 'directory.offer', answer);
    }
  }

  private pickPeers(count: number): readonly string[] {
    const remembered = this.options.random.next() < REMEMBERED_SHARE ? this.silentAddresses() : [];
    const pool = remembered.length > 0 ? remembered : [...this.peerAddresses()];
    const picked: string[] = [];
    while (picked.length < count && pool.length > 0) {
      const position = Math.floor(this.options.random.next() * pool.length);
      picked.push(...pool.splice(position, 1));
    }
    return picked;
  }

  /**
   * Addresses of entries that have fallen silent. After a cut of a data centre or a region both sides have
   * forgotten each other's presence; without a try now and then they would meet again only through a seed.
   */
  private silentAddresses(): string[] {
    const live = this.peerAddresses();
    return [...this.everHeard].filter((address) => !live.has(address));
  }

  private remember(address: string): void {
    this.everHeard.delete(address);
    this.everHeard.add(address);
    if (this.everHeard.size > ADDRESSES_REMEMBERED) {
      this.everHeard.delete(this.everHeard.values().next().value ?? '');
    }
  }

  private peerAddresses(): ReadonlySet<string> {
    const known = [...this.peersByName.values()].map((peer) => peer.presence.peerAddress);
    const addresses = new Set([...this.options.seeds, ...known]);
    addresses.delete(this.options.peerAddress);
    return addresses;
  }

  /** Entries that were heard from within their lease, this one included. */
  entries(): readonly types.EntryPresence[] {
    const others = [...this.peersByName.values()]
      .map((peer) => peer.presence)
      .filter((presence) => presence.name !== this.options.name);
    return [this.options.presence(), ...others];
  }
}

const ACKNOWLEDGED = results.Ok(null);

function keyOf(news: types.PublishedValue): string {
  switch (news.type) {
    case 'presence':
      return 'presence';
    case 'case':
      return `case/${news.record.content}`;
    case 'renewal':
      return `renewal/${news.renewal.name}`;
    case 'announce':
      return `announce/${news.announcement.name}`;
    case 'load':
      return `load/${news.report.name}`;
    case 'cache':
      return `cache/${news.event.name}/${news.event.sequence % CACHE_EVENTS_KEPT}`;
  }
}

const CACHE_EVENTS_KEPT = 16;
/** Share of the rounds in which a silent entry is tried, if there is one. */
const REMEMBERED_SHARE = 0.25;
const ADDRESSES_REMEMBERED = 1_000;

/** Publications of an unchanged presence within its lease, so that one may be lost. */
const PRESENCES_IN_LEASE = 3;

function rankOf(item: types.PublishedItem): number {
  return item.value.type === 'announce' ? 0 : item.sequence;
}
