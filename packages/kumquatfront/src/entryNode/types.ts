/**
 * Settings and ports of an entry, and the requests that it handles.
 */
import type * as coordination from '../admission/coordinatedPlacement.js';
import type * as admission from '../admission/headroom.js';
import type * as claimClient from '../claims/claimClient.js';
import type * as configurationReplica from '../configuration/configurationReplica.js';
import type * as directory from '../directory/directory.js';
import type * as ports from '../kernel/ports.js';
import type * as orders from '../orders/types.js';
import type * as streams from '../streams/types.js';

/** Settings of an entry. Times are milliseconds. */
export interface EntrySettings {
  readonly name: string;
  readonly dataCentre: string;
  /** Address for callers: `http://ip:port`. */
  readonly callerAddress: string;
  /** Address for other processes of the system: `ip:port`. */
  readonly peerAddress: string;
  /** Peer addresses of the seed entries. */
  readonly entries: readonly string[];
  /** Peer addresses of the control replicas. */
  readonly control: readonly string[];
  readonly signingKey: string;
  /** SHA-256 of the bearer key with which upstreams authenticate their announcements. */
  readonly upstreamKeyHash: string;
  readonly directory: directory.DirectorySettings;
  readonly configuration: configurationReplica.ConfigurationReplicaSettings;
  readonly claims: claimClient.ClaimClientSettings;
  readonly relay: streams.RelaySettings;
  readonly headroom: admission.HeadroomSettings;
  readonly coordination: coordination.CoordinationSettings;
  readonly serviceTimeout: number;
  readonly upstreamWait: number;
  /** Time for which callers may cache a list of addresses. */
  readonly addressLife: number;
}

/** Ports of an entry. */
export interface EntryPorts extends ports.BasePorts {
  readonly engines: streams.GenerationPort;
  readonly services: streams.ServicePort;
  readonly checkUpstream: streams.CheckUpstream;
  /** Sends orders of control to upstreams; only entries know the addresses of upstreams. */
  readonly orders: orders.OrderPort;
  /** Called when an operator requests a drain; the daemon drains the entry and exits. */
  readonly onDrainRequest: () => void;
}

/** Credentials and labels that every request of a caller carries. */
export interface CallerRequest {
  readonly bearerKey: string;
  /** Value of the labels header. */
  readonly labelsHeader: string | undefined;
}

/** A generation request. */
export interface GenerationRequest extends CallerRequest {
  readonly path: string;
  readonly body: Readonly<Record<string, unknown>>;
  /** True if the caller discards the tokens received so far when the stream restarts. */
  readonly acceptsRestart: boolean;
}

/** A request to resume a stream. */
export interface ResumeRequest extends CallerRequest {
  readonly requestId: string;
  readonly token: string;
}

/** A call to a plain service. */
export interface ServiceRequest extends CallerRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  readonly idempotencyKey: string | undefined;
}
