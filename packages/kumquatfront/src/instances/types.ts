/**
 * Upstream instances as they announce themselves, and the news of them between processes. Times are
 * milliseconds.
 */

/** `leaving` takes no new requests; an instance never comes back from it. */
export type InstanceState = 'ready' | 'leaving';

/** What an instance says of itself. */
export interface Announcement {
  /** New at each start of the instance: its name together with the moment of its start. */
  readonly identity: string;
  /** What the instance calls itself; the same again after a restart. */
  readonly name: string;
  /** When it started, in Unix milliseconds by its own clock; 0 where it does not say. Orders starts of one name. */
  readonly born: number;
  readonly service: string;
  /** `ip:port` */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly state: InstanceState;
  /** How much longer the instance is cold: it tolerates few requests, and falls over under many. 0 where it is warm. */
  readonly warmUpLeft: number;
  /** Goes up with each announcement, so that a late one can be told. */
  readonly sequence: number;
}

/** A rate limit that an instance names in its answers, as it goes between processes. */
export interface ToldRateLimit {
  /** Requests a second from all senders together; absent where it named a limit before and does not any more. */
  readonly perSecond?: number;
  /** Time since it was heard. */
  readonly age: number;
}

/** One record as it goes between processes. */
export interface InstanceRecord extends Announcement {
  /** Time since the instance was heard of. */
  readonly age: number;
  /** Time since the instance was heard of for the first time. */
  readonly firstAge: number;
  /** Its rate limit as entries have heard it; absent where none has. */
  readonly rateLimit?: ToldRateLimit;
}

/** News since a revision of one publisher. */
export interface InstanceNews {
  /** New at each start of the publisher: revisions of another epoch say nothing. */
  readonly epoch: string;
  readonly revision: number;
  /** True where the records are all that there are; instances that are missing are gone. */
  readonly whole: boolean;
  readonly records: readonly InstanceRecord[];
  /** Identities that are gone since the revision asked for. */
  readonly removed: readonly string[];
}
