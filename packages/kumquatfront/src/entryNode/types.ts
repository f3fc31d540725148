/**
 * What an entry is made from and how requests are handed to it.
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
  /** Where callers reach it: `http://ip:port`. */
  readonly callerAddress: string;
  /** Where other processes of the system reach it: `ip:port`. */
  readonly peerAddress: string;
  /** Peer addresses of other entries to begin with. */
  readonly entries: readonly string[];
  /** Peer addresses of the control replicas. */
  readonly control: readonly string[];
  readonly signingKey: string;
  /** SHA-256 of the bearer key that upstreams announce themselves with. */
  readonly upstreamKeyHash: string;
  readonly directory: directory.DirectorySettings;
  readonly configuration: configurationReplica.ConfigurationReplicaSettings;
  readonly claims: claimClient.ClaimClientSettings;
  readonly relay: streams.RelaySettings;
  readonly headroom: admission.HeadroomSettings;
  readonly coordination: coordination.CoordinationSettings;
  readonly serviceTimeout: number;
  readonly upstreamWait: number;
  /** Time for which callers may keep a list of addresses. */
  readonly addressLife: number;
}

/** Ports of an entry. */
export interface EntryPorts extends ports.BasePorts {
  readonly engines: streams.GenerationPort;
  readonly services: streams.ServicePort;
  readonly checkUpstream: streams.CheckUpstream;
  /** Gives orders of control to upstreams, which only entries know. */
  readonly orders: orders.OrderPort;
  /** Called when an operator asks this entry to drain; the daemon drains and ends. */
  readonly onDrainRequest: () => void;
}

/** A request as the front hands it in. */
export interface CallerRequest {
  readonly bearerKey: string;
  /** Value of the labels header. */
  readonly labelsHeader: string | undefined;
}

/** A request to generate. */
export interface GenerationRequest extends CallerRequest {
  readonly path: string;
  readonly body: Readonly<Record<string, unknown>>;
  /** True where the caller understands that a restart voids what it has. */
  readonly acceptsRestart: boolean;
}

/** A request to go on with a stream. */
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
