/**
 * Messages by which processes keep the origins of streams for each other. Times are in milliseconds.
 */
import type * as types from './types.js';

/** RPC method names; control replicas and entries serve `keep` and `find`. */
export const methods = {
  keep: 'origins.keep',
  find: 'origins.find',
  /** Served by control: the peer addresses of all entries. */
  entries: 'origins.entries',
} as const;

/** Asks a process to keep origins. */
export interface KeepRequest {
  readonly records: readonly types.OriginRecord[];
}

/** Asks a process for the origin of a stream. */
export interface FindRequest {
  readonly key: types.StreamKey;
}

/** The origin; absent if the process does not know it. */
export interface FindAnswer {
  readonly origin?: types.StreamOrigin;
}

/** Asks control for the entries, unless their digest is still the same. */
export interface EntriesRequest {
  /** Digest of the last list; 0 before the first. */
  readonly digest: number;
}

/** Peer addresses of the entries; absent if they have not changed. */
export interface EntriesAnswer {
  readonly addresses?: readonly string[];
}
