/**
 * Objects that operators configure. Times are milliseconds, lengths are tokens.
 */

/** Kinds of configured objects. */
export type ConfigurationKind =
  'market' | 'clientAccount' | 'deployment' | 'selector' | 'limits' | 'objective';

/** A market: labels that every request of its client accounts carries. */
export interface MarketBody {
  readonly labels: Readonly<Record<string, string>>;
}

/** A client account. Keys are kept only as SHA-256 hashes, in hexadecimal. */
export interface ClientAccountBody {
  readonly market: string;
  readonly keyHashes: readonly string[];
  readonly labels?: Readonly<Record<string, string>>;
  /** Share in a contended queue against other accounts; 1 where absent. */
  readonly weight?: number;
}

/** Upstreams that serve together, chosen by their labels. */
export interface DeploymentBody {
  readonly kind: 'engine' | 'plainService';
  /** Label selector over what upstreams announce. */
  readonly upstreams: string;
  readonly models?: readonly string[];
}

/** How urgent traffic is. */
export type Urgency = 'urgent' | 'patient';

/** Which traffic goes to which deployment, and how. */
export interface SelectorBody {
  /** Label selector over request labels. */
  readonly match: string;
  /** The higher one wins; two that overlap must differ. */
  readonly precedence: number;
  readonly deployment: string;
  readonly urgency: Urgency;
  /** Model that is asked for, in place of what the caller named. */
  readonly model?: string;
  readonly adapter?: string;
  /** For plain services; where absent the HTTP method decides. */
  readonly idempotent?: boolean;
  /** What becomes of a generation whose upstream died after tokens were relayed; `interrupt` where absent. */
  readonly onUpstreamDeath?: 'interrupt' | 'restart';
}

/** Bounds of the serving policy; one object named `default`. */
export interface LimitsBody {
  readonly queuePerAccount?: number;
  readonly queueTotal?: number;
  /** Retries allowed for each hundred requests of an account. */
  readonly retryPercent?: number;
}

/** A service-level objective: `share` of the calls of a class stay under `threshold` milliseconds. */
export interface ObjectiveBody {
  readonly measure: 'stall' | 'firstToken' | 'betweenTokens' | 'whole';
  readonly urgency: Urgency;
  readonly threshold: number;
  readonly share: number;
}

/** Body by kind. */
export interface ConfigurationBodies {
  readonly market: MarketBody;
  readonly clientAccount: ClientAccountBody;
  readonly deployment: DeploymentBody;
  readonly selector: SelectorBody;
  readonly limits: LimitsBody;
  readonly objective: ObjectiveBody;
}

/** A configured object of any kind, with the version of its last change. */
export type ConfigurationObject = {
  [Kind in ConfigurationKind]: {
    readonly kind: Kind;
    readonly name: string;
    readonly version: number;
    readonly body: ConfigurationBodies[Kind];
  };
}[ConfigurationKind];

/** An object as an operator writes it, before it has a version. */
export interface ConfigurationDraft {
  readonly kind: ConfigurationKind;
  readonly name: string;
  readonly body: unknown;
}

/** What one pull brings: everything after a version, or the whole where that is no longer known. */
export interface ConfigurationDelta {
  readonly clusterIdentity: string;
  readonly version: number;
  readonly whole: boolean;
  readonly objects: readonly ConfigurationObject[];
  readonly deleted: readonly string[];
}
