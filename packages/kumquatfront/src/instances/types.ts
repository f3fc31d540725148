/**
 * Upstream instances as they announce themselves, and the messages that carry them between processes. Times are in
 * milliseconds.
 */

/** A `leaving` instance is draining and takes no new requests. The state is final for an incarnation. */
export type InstanceState = 'ready' | 'leaving';

/** The attributes that an instance announces. */
export interface Announcement {
  /** Identifies one incarnation: the name of the instance together with its start time. */
  readonly identity: string;
  /** Stable across restarts. */
  readonly name: string;
  /** Start time in Unix milliseconds by the clock of the instance, 0 if unknown. Orders incarnations of one name. */
  readonly born: number;
  readonly service: string;
  /** `ip:port` */
  readonly address: string;
  readonly dataCentre: string;
  /** Version of the software of the instance, a name without order; absent if it announces none. */
  readonly softwareVersion?: string;
  readonly slots: number;
  readonly state: InstanceState;
  /** Remaining time for which the instance is cold and can crash under many requests; 0 if it is warm. */
  readonly warmUpLeft: number;
  /** Increases with each announcement, so that delayed announcements are detected. */
  readonly sequence: number;
}

/** A rate limit that an instance stated in a response, in the form that processes exchange. */
export interface ReportedRateLimit {
  /** Requests per second from all senders together; absent once the instance has lifted the limit. */
  readonly perSecond?: number;
  /** Time since it was received. */
  readonly age: number;
}

/** One instance in the form that processes exchange. */
export interface InstanceRecord extends Announcement {
  /** Time since the last announcement of the instance. */
  readonly age: number;
  /** Time since the first announcement of the instance. */
  readonly firstAge: number;
  /** The rate limit that entries have reported; absent if there is none. */
  readonly rateLimit?: ReportedRateLimit;
}

/** How far the complete list of a publisher has been received, in pages sorted by identity. */
export interface ListingPosition {
  /** Revision at which the first page was sent; later changes are requested when the list is complete. */
  readonly revision: number;
  /** Last identity received. */
  readonly after: string;
}

/** Changes since a revision of one publisher, or a page of its complete list. */
export interface InstanceUpdate {
  /** Unique for each start of the publisher; revisions of different epochs are not comparable. */
  readonly epoch: string;
  readonly revision: number;
  /** True for a page of the complete list: instances that are on no page have been removed. */
  readonly whole: boolean;
  /** Where the next page of the complete list begins; absent on the last one. */
  readonly listing?: ListingPosition;
  /** True if there were more changes than fit in the update; the others have higher revisions. */
  readonly hasMore?: boolean;
  readonly records: readonly InstanceRecord[];
  /** Identities removed since the requested revision. */
  readonly removed: readonly string[];
}
