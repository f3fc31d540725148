/**
 * Messages about fragile services, whose upstreams crash when they have to reject more than a few requests in a second.
 * Times are in milliseconds.
 */
import type * as ports from '../kernel/ports.js';

/** RPC method names. */
export const methods = {
  /** Asks the coordinator for a slot of an upstream. */
  take: 'slots.take',
  /** Returns slots. */
  release: 'slots.release',
  /** Reports to control what the upstreams of a service state. */
  state: 'slots.state',
} as const;

/** What upstreams of a service last stated. */
export interface FragilityRecord {
  readonly service: string;
  /** Requests that an upstream may have to reject in a second; 0 if the service is not fragile. */
  readonly maximumRejections: number;
  /** Time since it was stated. */
  readonly age: ports.Milliseconds;
}

/** Records sent by an entry. */
export interface FragilityReport {
  readonly records: readonly FragilityRecord[];
}

/** Asks for a slot. */
export interface TakeRequest {
  readonly id: string;
  readonly entry: string;
  readonly dataCentre: string;
  readonly service: string;
  /** Upstreams that are not eligible. */
  readonly excluded: readonly string[];
  /** Data centres in which the request may run; absent if it may run in any. */
  readonly dataCentres?: readonly string[];
  /** Time after which the slot is free although it was not returned. */
  readonly holdFor: ports.Milliseconds;
  /** Time for which the request may wait for a slot. */
  readonly patience: ports.Milliseconds;
}

/** Answer to a request for a slot. */
export type TakeAnswer =
  | { readonly state: 'granted'; readonly instance: string }
  | { readonly state: 'refused'; readonly retryAfter: ports.Milliseconds };

/** A slot that is returned. */
export interface ReleasedSlot {
  readonly id: string;
  /** True if the upstream had no room for the request. */
  readonly rejected: boolean;
}

/** Returns slots. */
export interface ReleaseRequest {
  readonly slots: readonly ReleasedSlot[];
}
