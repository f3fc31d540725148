/**
 * Types of the directory: attributes of upstreams and entries that entries exchange. This is soft state: it is
 * announced, leased and repeated, without consensus.
 */
import type * as quarantineTypes from '../quarantine/types.js';
import type * as labelSelector from '../selectors/labelSelector.js';

/** A model engine, or a service that only answers calls. */
export type UpstreamKind = 'engine' | 'plainService';

/** The attributes that an upstream announces. */
export interface Announcement {
  readonly name: string;
  /** Increases with every restart of the upstream, so that updates of an earlier incarnation are ignored. */
  readonly incarnation: number;
  /** Increases with every announcement of this incarnation. */
  readonly sequence: number;
  /** `http://ip:port`. */
  readonly address: string;
  readonly kind: UpstreamKind;
  readonly labels: labelSelector.Labels;
  readonly dataCentre: string;
  /** Memory capacity in tokens; 0 for a plain service. */
  readonly memoryTokens: number;
  /** Maximum number of concurrent generations; 0 if unknown. */
  readonly slots: number;
  /** Milliseconds after which the upstream is removed unless it announces itself again. */
  readonly lease: number;
  /** True if the upstream is draining and takes no new requests. */
  readonly leaving: boolean;
}

/** A repeated announcement that changes nothing but extends the lease. */
export interface Renewal {
  readonly name: string;
  readonly incarnation: number;
  readonly sequence: number;
}

/** Load of an upstream; may arrive late. */
export interface LoadReport {
  readonly name: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
  readonly usedTokens: number;
}

/** Prefixes added to and removed from the cache of an engine. The state is exact only if no sequence is missing. */
export interface CacheEvent {
  readonly name: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

/** An update that an upstream posts to any entry. */
export type UpstreamUpdate =
  | { readonly type: 'announce'; readonly announcement: Announcement }
  | { readonly type: 'load'; readonly report: LoadReport }
  | { readonly type: 'cache'; readonly event: CacheEvent };

/** The attributes that an entry publishes about itself. */
export interface EntryPresence {
  readonly name: string;
  readonly dataCentre: string;
  /** Address for callers: `http://ip:port`. */
  readonly callerAddress: string;
  /** Address for other processes of the system: `ip:port`. */
  readonly peerAddress: string;
  readonly state: 'serving' | 'draining' | 'stale';
  readonly inFlight: number;
  readonly configurationVersion: number;
}

/** A value that an entry publishes to the other entries. */
export type PublishedValue =
  | { readonly type: 'announce'; readonly announcement: Announcement }
  | { readonly type: 'renewal'; readonly renewal: Renewal }
  | { readonly type: 'load'; readonly report: LoadReport }
  | { readonly type: 'cache'; readonly event: CacheEvent }
  | { readonly type: 'presence'; readonly presence: EntryPresence }
  /** The crash record of a content. */
  | { readonly type: 'case'; readonly record: quarantineTypes.CrashRecord };

/** A published value as entries exchange it. */
export interface PublishedItem {
  readonly publisher: string;
  readonly incarnation: number;
  readonly sequence: number;
  /** The value replaces the previous one of the same publisher and key. */
  readonly key: string;
  /** Milliseconds since it was published, accumulated per hop so that clocks need not be synchronized. */
  readonly age: number;
  readonly value: PublishedValue;
}

/** Incarnation and highest contiguous sequence of each publisher; a pair to keep messages small. */
export type StateVector = Readonly<Record<string, readonly [incarnation: number, sequence: number]>>;
