/**
 * The traffic configuration: routes, services, limits and client accounts that operators replace as a whole.
 * Times are milliseconds.
 */
import type * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';
import type * as warmUpBounds from '../warmUp/warmUpBounds.js';

/** What may be repeated: a `stream` may not, unless its route says that it is resumable. */
export type CallKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** A share of a route's requests that goes to one service. */
export interface WeightedTarget {
  readonly service: string;
  readonly weight: number;
}

/** Where requests of one host and path prefix go. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest one that begins the path wins. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time that a caller is kept waiting for the whole answer. */
  readonly timeout: ports.Milliseconds;
  /** Time to the answer, or to a stream's first event, that callers expect. */
  readonly objective: ports.Milliseconds;
  /** Rank among all requests; 0 goes first. */
  readonly priority: number;
  readonly targets: readonly WeightedTarget[];
  /** Upstreams that one request may run on at most. */
  readonly maximumAttempts: number;
  /** True where callers need no key. */
  readonly anonymous: boolean;
  /** True where a stream may go on at another upstream after the last event that arrived. */
  readonly resumable: boolean;
  /** Longest pause between two events of a stream that callers accept. */
  readonly longestPause: ports.Milliseconds;
  /** Regions in which its requests may run and their bodies be; absent where any will do. */
  readonly homes?: readonly string[];
}

/** What the engines of a service can do. */
export interface EngineTraits {
  /** Generations that one engine runs at once. */
  readonly slots: number;
  /** Memory of one engine, in tokens. */
  readonly memoryTokens: number;
  /** Bytes that one token takes when a generation is copied. */
  readonly bytesPerToken: number;
  readonly linkMegabitsPerSecond: number;
  readonly migrations: boolean;
  readonly backups: boolean;
  /** Tokens that one event of a stream holds. */
  readonly tokensPerEvent: number;
}

/** A group of upstreams that serve the same requests. */
export interface Service {
  readonly name: string;
  readonly maximumConnections: number;
  /** Present where cold upstreams tolerate fewer requests than warm ones. */
  readonly warmUp?: warmUpBounds.WarmUp;
  /** Present where the upstreams are engines that generate. */
  readonly engine?: EngineTraits;
}

/** Bounds of what a caller may send and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: ports.Milliseconds;
  readonly idleTimeout: ports.Milliseconds;
}

/** A client account and the keys that stand for it. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priority of the route where it is present. */
  readonly priority?: number;
  /** Regions in which its requests may run and their bodies be; absent where any will do. */
  readonly homes?: readonly string[];
}

/** One whole traffic configuration. */
export interface TrafficConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Absent where requests carry no keys. */
  readonly accounts?: readonly Account[];
}

/** Turns an operator's text into a configuration; the format is the adapter's. */
export type DecodeTraffic = (text: string) => results.Result<TrafficConfiguration, failures.Failure>;

/** A traffic configuration as it was accepted: its version, and the text that the operator sent. */
export interface VersionedText {
  readonly version: number;
  readonly text: string;
}
