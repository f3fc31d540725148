/**
 * Types of the objects that operators configure. Times are in milliseconds, lengths in tokens.
 */

/** Kinds of configuration objects. */
export type ConfigurationKind =
  'market' | 'clientAccount' | 'deployment' | 'selector' | 'limits' | 'objective';

/** A market: labels added to every request of its client accounts. */
export interface MarketBody {
  readonly labels: Readonly<Record<string, string>>;
}

/** A client account. Keys are stored only as hexadecimal SHA-256 hashes. */
export interface ClientAccountBody {
  readonly market: string;
  readonly keyHashes: readonly string[];
  readonly labels?: Readonly<Record<string, string>>;
  /** Weight relative to other client accounts in a contended queue; defaults to 1. */
  readonly weight?: number;
}

/** A group of upstreams, selected by their labels. */
export interface DeploymentBody {
  readonly kind: 'engine' | 'plainService';
  /** Label selector matched against the announced labels of upstreams. */
  readonly upstreams: string;
  readonly models?: readonly string[];
}

/** Urgency class of requests. */
export type Urgency = 'urgent' | 'patient';

/** Routing rule: maps matching requests to a deployment. */
export interface SelectorBody {
  /** Label selector matched against request labels. */
  readonly match: string;
  /** The highest precedence wins; overlapping selectors must have different precedences. */
  readonly precedence: number;
  readonly deployment: string;
  readonly urgency: Urgency;
  /** Model to request, overriding the model named by the caller. */
  readonly model?: string;
  readonly adapter?: string;
  /** For plain services; derived from the HTTP method if absent. */
  readonly idempotent?: boolean;
  /** Handling of a generation whose upstream crashes after tokens were relayed; defaults to `interrupt`. */
  readonly onUpstreamDeath?: 'interrupt' | 'restart';
}

/** Queue and retry limits; a single object named `default`. */
export interface LimitsBody {
  readonly queuePerAccount?: number;
  readonly queueTotal?: number;
  /** Retries allowed per hundred requests of a client account. */
  readonly retryPercent?: number;
}

/** A service-level objective: `share` of the requests of a class stay within `threshold` milliseconds. */
export interface ObjectiveBody {
  readonly measure: 'stall' | 'firstToken' | 'betweenTokens' | 'whole';
  readonly urgency: Urgency;
  readonly threshold: number;
  readonly share: number;
}

/** Body type of each object kind. */
export interface ConfigurationBodies {
  readonly market: MarketBody;
  readonly clientAccount: ClientAccountBody;
  readonly deployment: DeploymentBody;
  readonly selector: SelectorBody;
  readonly limits: LimitsBody;
  readonly objective: ObjectiveBody;
}

/** A configuration object of any kind, with the version of its last change. */
export type ConfigurationObject = {
  [Kind in ConfigurationKind]: {
    readonly kind: Kind;
    readonly name: string;
    readonly version: number;
    readonly body: ConfigurationBodies[Kind];
  };
}[ConfigurationKind];

/** An object as submitted by an operator, before validation and without a version. */
export interface ConfigurationDraft {
  readonly kind: ConfigurationKind;
  readonly name: string;
  readonly body: unknown;
}

/** Result of a pull: the changes since a version, or the full configuration if those are not retained. */
export interface ConfigurationDelta {
  readonly clusterIdentity: string;
  readonly version: number;
  /** True if `objects` is the full configuration: objects that are not in it have been deleted. */
  readonly whole: boolean;
  readonly objects: readonly ConfigurationObject[];
  readonly deleted: readonly string[];
}
