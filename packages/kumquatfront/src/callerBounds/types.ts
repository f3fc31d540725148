/**
 * Bounds on what clients may hold of a process.
 */
import type * as ports from '../kernel/ports.js';

/** Bounds of one process, for all of its listening addresses. */
export interface CallerBounds {
  /** Memory of all requests that have arrived in part or are served, in bytes. */
  readonly heldBytes: number;
  /** Requests that a connection may have sent behind the one that is served. */
  readonly requestsAhead: number;
  /** Time without a byte after which a request that has arrived in part is refused. */
  readonly stallTimeout: ports.Milliseconds;
  /** Connections of callers, operators or upstreams at one listening address. */
  readonly connections: number;
}

/** Why a request is refused or a connection closed. */
export type CloseReason =
  'memory' | 'stalled' | 'requestsAhead' | 'connections' | 'unreadAnswer' | 'bodyUnread';
