/**
 * What entries know of upstreams and of each other. This is soft state: it is announced, leased and
 * repeated, never agreed on.
 */
import type * as quarantineTypes from '../quarantine/types.js';
import type * as labelSelector from '../selectors/labelSelector.js';

/** A model engine, or a service that is only called. */
export type UpstreamKind = 'engine' | 'plainService';

/** What an upstream says of itself. */
export interface Announcement {
  readonly name: string;
  /** Grows with every restart of the upstream, so that news of a former life never beats the present one. */
  readonly incarnation: number;
  /** Grows with every announcement of this incarnation. */
  readonly sequence: number;
  /** `http://ip:port`. */
  readonly address: string;
  readonly kind: UpstreamKind;
  readonly labels: labelSelector.Labels;
  readonly dataCentre: string;
  /** Tokens its memory holds; 0 for a plain service. */
  readonly memoryTokens: number;
  /** Generations it runs at once at most; 0 where it does not say. */
  readonly slots: number;
  /** Milliseconds after which it counts as gone unless it announces itself again. */
  readonly lease: number;
  readonly leaving: boolean;
}

/** Word that an upstream announced itself again and nothing but its lease changed. */
export interface Renewal {
  readonly name: string;
  readonly incarnation: number;
  readonly sequence: number;
}

/** A load report; it may be late. */
export interface LoadReport {
  readonly name: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
  readonly usedTokens: number;
}

/** Prefixes that an engine's cache gained or lost. Sequences without a gap can be trusted. */
export interface CacheEvent {
  readonly name: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

/** What an upstream posts to any entry. */
export type UpstreamNews =
  | { readonly type: 'announce'; readonly announcement: Announcement }
  | { readonly type: 'load'; readonly report: LoadReport }
  | { readonly type: 'cache'; readonly event: CacheEvent };

/** What an entry says of itself. */
export interface EntryPresence {
  readonly name: string;
  readonly dataCentre: string;
  /** Where callers reach it: `http://ip:port`. */
  readonly callerAddress: string;
  /** Where other processes of the system reach it: `ip:port`. */
  readonly peerAddress: string;
  readonly state: 'serving' | 'draining' | 'stale';
  /** Requests in flight. */
  readonly inFlight: number;
  readonly configurationVersion: number;
}

/** A value that one entry publishes to the others. */
export type PublishedValue =
  | { readonly type: 'announce'; readonly announcement: Announcement }
  | { readonly type: 'renewal'; readonly renewal: Renewal }
  | { readonly type: 'load'; readonly report: LoadReport }
  | { readonly type: 'cache'; readonly event: CacheEvent }
  | { readonly type: 'presence'; readonly presence: EntryPresence }
  /** What is held against a content under which upstreams have ended. */
  | { readonly type: 'case'; readonly record: quarantineTypes.CaseRecord };

/** A published value on its way between entries. */
export interface PublishedItem {
  readonly publisher: string;
  readonly incarnation: number;
  readonly sequence: number;
  /** The value replaces the former one with this key of the same publisher. */
  readonly key: string;
  /** Milliseconds since it was published, added up on the way; clocks need not agree. */
  readonly age: number;
  readonly value: PublishedValue;
}

/** Incarnation and newest sequence known of each publisher without a gap; a pair, as it travels often. */
export type StateVector = Readonly<Record<string, readonly [incarnation: number, sequence: number]>>;
