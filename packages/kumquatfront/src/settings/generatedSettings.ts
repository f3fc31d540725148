/**
 * Generated from settings.schema.json by `npm run generate`; change the schema instead.
 */

/**
 * ip:port
 */
export type Address = string;
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/**
 * Settings of a kumquatfront process. Times are milliseconds, addresses are ip:port.
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
   * Where callers and upstreams connect
   */
  callerAddress: string;
  /**
   * Where other processes of the system connect
   */
  peerAddress: string;
  /**
   * Peer addresses of other entries to begin with
   */
  entries?: Address[];
  /**
   * Peer addresses of the control replicas
   *
   * @minItems 1
   */
  control: [Address, ...Address[]];
  /**
   * Key that all processes of the system share
   */
  clusterKey: string;
  /**
   * Key that signs resume tokens; the same on every entry
   */
  signingKey: string;
  /**
   * SHA-256 of the key that upstreams announce themselves with
   */
  upstreamKeyHash: string;
  logLevel?: LogLevel;
  metrics?: Metrics;
  directory?: {
    /**
     * Time between exchanges with other entries
     */
    round?: number;
    /**
     * Entries asked in each exchange
     */
    fanout?: number;
    /**
     * Time news is kept
     */
    keepFor?: number;
    /**
     * Silence after which another entry counts as gone
     */
    presenceLease?: number;
  };
  configuration?: {
    /**
     * Time between pulls of the configuration
     */
    pullInterval?: number;
    /**
     * Time a replica has to answer a pull
     */
    pullTimeout?: number;
    /**
     * Time without control after which the entry says that it is stale
     */
    staleAfter?: number;
  };
  claims?: {
    /**
     * Time over which claims are gathered
     */
    batchWindow?: number;
    /**
     * Time within which a claim must be recorded
     */
    claimDeadline?: number;
    /**
     * Time for which an outcome is offered to control
     */
    settleDeadline?: number;
  };
  relay?: {
    /**
     * Silence after which the engine is asked again
     */
    stallTimeout?: number;
    /**
     * Time an engine has to accept a request
     */
    openTimeout?: number;
    /**
     * Silence after which a generation is given up
     */
    silenceLimit?: number;
    /**
     * Pause before a resumption, times the number of tries
     */
    resumePause?: number;
    /**
     * Time a generation is kept for a caller that went away
     */
    resumeGrace?: number;
    /**
     * Resumptions without a token before an engine is given up
     */
    resumeLimit?: number;
    /**
     * Generations of one request at most
     */
    generationLimit?: number;
  };
  headroom?: {
    /**
     * Share of an engine's memory kept from patient work
     */
    reservedMemory?: number;
    /**
     * Share of an engine's slots kept from patient work
     */
    reservedSlots?: number;
    /**
     * Standard deviations above the mean that the forecast of memory reckons with
     */
    deviations?: number;
  };
  coordination?: {
    /**
     * Engines that one entry coordinates at most
     */
    groupSize?: number;
    /**
     * Time between asks for a place, and between reports of progress
     */
    interval?: number;
    /**
     * Time a coordinator has to answer before an entry places alone
     */
    askTimeout?: number;
  };
  /**
   * Time a plain service has to answer
   */
  serviceTimeout?: number;
  /**
   * Time a request waits for an upstream to announce itself
   */
  upstreamWait?: number;
  /**
   * Time for which callers may keep a list of addresses
   */
  addressLife?: number;
}
export interface Metrics {
  /**
   * Address of the StatsD collector
   */
  host?: string;
  port?: number;
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
   * Peer addresses of every control VM, this one included
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
   * Key that all processes of the system share
   */
  clusterKey: string;
  /**
   * SHA-256 of the operators' key
   */
  operatorKeyHash: string;
  /**
   * Folder for the agreed state, on a disk
   */
  dataFolder: string;
  logLevel?: LogLevel;
  metrics?: Metrics;
  timing?: {
    /**
     * Time between the leader's heartbeats
     */
    heartbeat?: number;
    /**
     * Silence of the leader after which another is elected
     */
    electionTimeout?: number;
    /**
     * Share of the election timeout that a leader trusts
     */
    leaseShare?: number;
    /**
     * Log entries between snapshots
     */
    snapshotEvery?: number;
    /**
     * Characters of a snapshot in one message
     */
    snapshotPieceLength?: number;
    /**
     * Log entries in one message
     */
    appendLimit?: number;
  };
  limits?: {
    /**
     * Time for which a change id gets its first answer again
     */
    changeIdLife?: number;
    /**
     * Time for which a claim is kept
     */
    claimLife?: number;
    /**
     * Claims kept for one client account
     */
    claimsPerAccount?: number;
    /**
     * Deleted objects remembered for partial pulls
     */
    tombstones?: number;
    /**
     * Finished orders remembered
     */
    finishedOrders?: number;
    /**
     * Contents kept from upstreams at once
     */
    quarantined?: number;
  };
  orders?: {
    /**
     * Longest time an order can be on its way
     */
    longestFlight?: number;
    /**
     * Weight loads that the weight store allows
     */
    weightLoadsPerMinute?: number;
    /**
     * Time between looks at the open orders
     */
    pumpInterval?: number;
    /**
     * Tries after which an order has failed
     */
    attempts?: number;
  };
  /**
   * Silence after which an entry no longer counts
   */
  entryLease?: number;
}
