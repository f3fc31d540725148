/**
 * Generated from settings.schema.json by `npm run generate`; change the schema instead.
 */

/**
 * ip:port
 */
export type Address = string;
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/**
 * Settings of a kumquatfront process. Times are in milliseconds; addresses are ip:port.
 */
export interface KumquatfrontSettings {
  entry?: EntryFile;
  control?: ControlFile;
}
export interface EntryFile {
  /**
   * Unique name of this entry
   */
  name: string;
  /**
   * Data centre of this VM
   */
  dataCentre: string;
  /**
   * Listen address for callers and upstreams
   */
  callerAddress: string;
  /**
   * Listen address for other processes of the cluster
   */
  peerAddress: string;
  /**
   * Peer addresses of seed entries, contacted at startup
   */
  entries?: Address[];
  /**
   * Peer addresses of the control replicas
   *
   * @minItems 1
   */
  control: [Address, ...Address[]];
  /**
   * Shared key that authenticates the processes of the cluster to each other
   */
  clusterKey: string;
  /**
   * Key that signs resume tokens; must be identical on every entry
   */
  signingKey: string;
  /**
   * SHA-256 of the key that authenticates announcements of upstreams
   */
  upstreamKeyHash: string;
  logLevel?: LogLevel;
  metrics?: Metrics;
  directory?: {
    /**
     * Interval between gossip rounds
     */
    round?: number;
    /**
     * Number of entries contacted in each gossip round
     */
    fanout?: number;
    /**
     * Retention time of directory updates
     */
    keepFor?: number;
    /**
     * Time without a presence update after which an entry is removed from the directory
     */
    presenceLease?: number;
  };
  configuration?: {
    /**
     * Interval between configuration pulls
     */
    pullInterval?: number;
    /**
     * Timeout of a configuration pull
     */
    pullTimeout?: number;
    /**
     * Time without a fresh answer from control after which the entry reports itself as stale
     */
    staleAfter?: number;
  };
  claims?: {
    /**
     * Time window in which claims are batched
     */
    batchWindow?: number;
    /**
     * Deadline for recording a claim
     */
    claimDeadline?: number;
    /**
     * Deadline for reporting the outcome of a claim to control
     */
    settleDeadline?: number;
  };
  relay?: {
    /**
     * Idle time after which the stream is requested from the engine again
     */
    stallTimeout?: number;
    /**
     * Time limit for an engine to accept a request
     */
    openTimeout?: number;
    /**
     * Idle time after which a generation is aborted
     */
    silenceLimit?: number;
    /**
     * Delay before a resumption, multiplied by the number of attempts
     */
    resumePause?: number;
    /**
     * Time for which a generation is retained after its caller disconnects
     */
    resumeGrace?: number;
    /**
     * Maximum number of resumptions without a token before the engine is abandoned
     */
    resumeLimit?: number;
    /**
     * Maximum number of generations of one request
     */
    generationLimit?: number;
  };
  headroom?: {
    /**
     * Share of an engine's memory reserved for urgent requests
     */
    reservedMemory?: number;
    /**
     * Share of an engine's slots reserved for urgent requests
     */
    reservedSlots?: number;
    /**
     * Standard deviations above the mean used in the memory forecast
     */
    deviations?: number;
  };
  coordination?: {
    /**
     * Maximum number of engines that one entry coordinates
     */
    groupSize?: number;
    /**
     * Interval between placement requests and between progress reports
     */
    interval?: number;
    /**
     * Timeout of a placement request, after which the entry places the request locally
     */
    askTimeout?: number;
  };
  /**
   * Response timeout of plain services
   */
  serviceTimeout?: number;
  /**
   * Maximum time a request waits for an upstream to be announced
   */
  upstreamWait?: number;
  /**
   * Time for which callers may cache the list of entry addresses
   */
  addressLife?: number;
  callerBounds?: CallerBounds;
}
export interface Metrics {
  /**
   * Address of the StatsD collector
   */
  host?: string;
  port?: number;
}
export interface CallerBounds {
  /**
   * Memory of all requests that have arrived in part or are served, in bytes; by default a tenth of 200 MiB
   */
  heldBytes?: number;
  /**
   * Requests that a connection may have sent behind the one that is served; more close it
   */
  requestsAhead?: number;
  /**
   * Time without a byte after which a request that has arrived in part is refused
   */
  stallTimeout?: number;
  /**
   * Connections at one listening address; above it, one without a request is closed
   */
  connections?: number;
}
export interface ControlFile {
  /**
   * Unique name of this control VM
   */
  name: string;
  /**
   * Data centre of this VM
   */
  dataCentre: string;
  /**
   * ip:port
   */
  operatorAddress: string;
  /**
   * ip:port
   */
  peerAddress: string;
  /**
   * Peer addresses of all control VMs, including this one
   *
   * @minItems 1
   * @maxItems 7
   */
  control:
    | [Address]
    | [Address, Address]
    | [Address, Address, Address]
    | [Address, Address, Address, Address]
    | [Address, Address, Address, Address, Address]
    | [Address, Address, Address, Address, Address, Address]
    | [Address, Address, Address, Address, Address, Address, Address];
  /**
   * Shared key that authenticates the processes of the cluster to each other
   */
  clusterKey: string;
  /**
   * SHA-256 of the operators' key
   */
  operatorKeyHash: string;
  /**
   * Directory for the persistent replicated state
   */
  dataFolder: string;
  logLevel?: LogLevel;
  metrics?: Metrics;
  timing?: {
    /**
     * Interval between heartbeats of the leader
     */
    heartbeat?: number;
    /**
     * Time without a heartbeat after which a new leader is elected
     */
    electionTimeout?: number;
    /**
     * Duration of the leader lease as a share of the election timeout
     */
    leaseShare?: number;
    /**
     * Number of log entries between snapshots
     */
    snapshotEvery?: number;
    /**
     * Maximum number of snapshot characters in one message
     */
    snapshotPieceLength?: number;
    /**
     * Maximum number of log entries in one message
     */
    appendLimit?: number;
  };
  limits?: {
    /**
     * Time for which a repeated change id receives the original response
     */
    changeIdLife?: number;
    /**
     * Retention time of a claim
     */
    claimLife?: number;
    /**
     * Maximum number of claims retained for one client account
     */
    claimsPerAccount?: number;
    /**
     * Number of deleted objects retained for incremental pulls
     */
    tombstones?: number;
    /**
     * Number of finished orders retained
     */
    finishedOrders?: number;
    /**
     * Maximum number of contents in quarantine
     */
    quarantined?: number;
  };
  orders?: {
    /**
     * Maximum time for which an order can be in flight
     */
    longestFlight?: number;
    /**
     * Maximum number of weight loads from the weight store in one minute
     */
    weightLoadsPerMinute?: number;
    /**
     * Interval at which open orders are processed
     */
    pumpInterval?: number;
    /**
     * Maximum number of attempts for an order
     */
    attempts?: number;
  };
  /**
   * Time without contact after which an entry is no longer counted
   */
  entryLease?: number;
  callerBounds?: CallerBounds;
}
