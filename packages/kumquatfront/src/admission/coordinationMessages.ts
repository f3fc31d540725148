/**
 * Messages between entries about the placement of patient requests.
 */
import type * as directory from '../directory/types.js';
import type * as routing from '../routing/types.js';

/** Names of the methods. */
export const methods = {
  ask: 'placement.ask',
  granted: 'placement.granted',
  progress: 'placement.progress',
  finished: 'placement.finished',
  withdrawn: 'placement.withdrawn',
} as const;

/** A request as it travels: the sets are lists. */
export type TravellingRequest = Omit<routing.PlacementRequest, 'exclude'> & {
  readonly exclude: readonly string[];
};

/** Asks the coordinator of a group of engines for a place; safe to repeat. */
export interface Ask {
  /** Peer address that the grant goes to. */
  readonly from: string;
  readonly request: TravellingRequest;
}

/** A place, a refusal, or word that the request waits. */
export type AskAnswer =
  | { readonly state: 'waiting' }
  | { readonly state: 'granted'; readonly announcement: directory.Announcement }
  | { readonly state: 'refused'; readonly refusal: routing.PlacementRefusal };

/** Tells the asker that its request has a place. */
export interface Granted {
  readonly requestId: string;
  readonly answer: AskAnswer;
}

/** One running generation, with all that a new coordinator needs to know of it. */
export interface Running {
  readonly requestId: string;
  readonly upstream: string;
  readonly promptTokens: number;
  readonly estimateKeys: readonly string[];
  readonly produced: number;
}

/** Progress of everything that one entry runs in a coordinator's group. */
export interface Progress {
  readonly running: readonly Running[];
}

/** A request has left its engine. */
export interface Finished {
  readonly requestId: string;
  readonly produced: number;
  readonly whole: boolean;
}
