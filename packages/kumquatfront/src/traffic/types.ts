/**
 * The traffic configuration: routes, services, limits and client accounts. Operators always replace it completely.
 * Times are milliseconds.
 */
import type * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';
import type * as warmUpBounds from '../warmUp/warmUpBounds.js';

/** Whether a request may be retried; a `stream` may only if its route is resumable. */
export type CallKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** A service that receives a weighted fraction of a route's requests. */
export interface WeightedTarget {
  readonly service: string;
  readonly weight: number;
}

/** Maps the requests of one host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest matching prefix wins. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Maximum time until the complete response. */
  readonly timeout: ports.Milliseconds;
  /** Latency objective: time to the response, or to the first event of a stream. */
  readonly objective: ports.Milliseconds;
  /** Priority among all requests; 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly WeightedTarget[];
  /** Maximum number of upstreams tried for one request. */
  readonly maximumAttempts: number;
  /** True if callers need no key. */
  readonly anonymous: boolean;
  /** True if a stream may resume on another upstream after the last event received. */
  readonly resumable: boolean;
  /** Maximum time between two events of a stream. */
  readonly longestPause: ports.Milliseconds;
  /** Home regions that its requests and their bodies are restricted to; absent if unrestricted. */
  readonly homes?: readonly string[];
}

/** Capacity and capabilities of the engines of a service. */
export interface EngineTraits {
  /** Maximum number of concurrent generations per engine. */
  readonly slots: number;
  /** Memory of one engine, in tokens. */
  readonly memoryTokens: number;
  /** Bytes transferred per token when a generation is copied. */
  readonly bytesPerToken: number;
  readonly linkMegabitsPerSecond: number;
  readonly migrations: boolean;
  readonly backups: boolean;
  /** Number of tokens per stream event. */
  readonly tokensPerEvent: number;
}

/** A group of upstreams that serve the same requests. */
export interface Service {
  readonly name: string;
  readonly maximumConnections: number;
  /** Present if cold upstreams tolerate fewer requests than warm ones. */
  readonly warmUp?: warmUpBounds.WarmUp;
  /** Present if the upstreams are engines that run generations. */
  readonly engine?: EngineTraits;
}

/** Size and time limits of requests from callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: ports.Milliseconds;
  readonly idleTimeout: ports.Milliseconds;
}

/** A client account and the keys that identify it. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route if present. */
  readonly priority?: number;
  /** Share of capacity that is short, relative to other accounts; 1 if absent. */
  readonly weight?: number;
  /** Home regions that its requests and their bodies are restricted to; absent if unrestricted. */
  readonly homes?: readonly string[];
}

/** A complete traffic configuration. */
export interface TrafficConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Absent if requests carry no keys. */
  readonly accounts?: readonly Account[];
}

/** Decodes a configuration from the text sent by an operator; the adapter defines the format. */
export type DecodeTraffic = (text: string) => results.Result<TrafficConfiguration, failures.Failure>;

/** An accepted traffic configuration: its version and the text sent by the operator. */
export interface VersionedText {
  readonly version: number;
  readonly text: string;
}
