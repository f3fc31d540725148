/**
 * Messages exchanged between entries to place patient requests.
 */
import type * as directory from '../directory/types.js';
import type * as routing from '../routing/types.js';

/** Method names. */
export const methods = {
  ask: 'placement.ask',
  granted: 'placement.granted',
  progress: 'placement.progress',
  finished: 'placement.finished',
  withdrawn: 'placement.withdrawn',
} as const;

/** A placement request as sent between entries, with sets encoded as lists. */
export type SerializedPlacementRequest = Omit<routing.PlacementRequest, 'exclude'> & {
  readonly exclude: readonly string[];
};

/** Requests placement from the coordinator of an engine group; idempotent. */
export interface CoordinatorRequest {
  /** Peer address that the grant is sent to. */
  readonly from: string;
  readonly request: SerializedPlacementRequest;
}

/** The outcome of a request: granted, refused, or still waiting. */
export type CoordinatorAnswer =
  | { readonly state: 'waiting' }
  | { readonly state: 'granted'; readonly announcement: directory.Announcement }
  | { readonly state: 'refused'; readonly refusal: routing.PlacementRefusal };

/** Notifies the requesting entry that its request was granted or refused. */
export interface GrantNotification {
  readonly requestId: string;
  readonly answer: CoordinatorAnswer;
}

/** A running generation, with everything a new coordinator needs to track it. */
export interface RunningGeneration {
  readonly requestId: string;
  readonly upstream: string;
  readonly promptTokens: number;
  readonly estimateKeys: readonly string[];
  readonly produced: number;
}

/** Progress of all generations that one entry runs in a coordinator's group. */
export interface ProgressReport {
  readonly running: readonly RunningGeneration[];
}

/** Notifies the coordinator that a request has left its engine. */
export interface FinishNotification {
  readonly requestId: string;
  readonly produced: number;
  /** True if the generation ran to completion. */
  readonly whole: boolean;
}
