/**
 * Resolves a caller's key to its client account and the labels of a request to its route.
 */
import * as crypto from 'node:crypto';

import type * as configuration from '../configuration/types.js';
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import * as labelSelector from './labelSelector.js';

/** An authenticated client account with the labels of its requests. */
export interface ResolvedAccount {
  readonly name: string;
  readonly body: configuration.ClientAccountBody;
  readonly labels: labelSelector.Labels;
}

/** The selector and the deployment that apply to a request. */
export interface Route {
  readonly selectorName: string;
  readonly selector: configuration.SelectorBody;
  readonly deployment: configuration.DeploymentBody;
}

interface CompiledSelector {
  readonly route: Route;
  readonly match: labelSelector.LabelSelector;
}

const HEADER_LABEL_PATTERN = /^([A-Za-z0-9][A-Za-z0-9._/-]{0,62})=([A-Za-z0-9][A-Za-z0-9._-]{0,62})$/;
const MAXIMUM_HEADER_LABELS = 16;
const DEFAULT_WEIGHT = 1;

/**
 * Returns the hash under which a bearer key is configured.
 *
 * @param key - the key sent by the caller
 * @returns the hexadecimal SHA-256 hash of the key
 * @example
 * ```ts
 * trafficResolver.hashKey('school-1-key');
 * ```
 */
export function hashKey(key: string): string {
  return crypto.createHash('sha256').update(key).digest('hex');
}

/**
 * Parses the request labels in a header.
 *
 * @param header - header value such as `traffic=balance,urgent-desk=3`, or undefined
 * @returns the labels, or a `badInput` failure that names the invalid label
 * @example
 * ```ts
 * trafficResolver.parseHeaderLabels('traffic=balance');
 * ```
 */
export function parseHeaderLabels(
  header: string | undefined,
): results.Result<labelSelector.Labels, failures.Failure> {
  const labels: Record<string, string> = {};
  const parts = header === undefined || header.trim() === '' ? [] : header.split(',');
  if (parts.length > MAXIMUM_HEADER_LABELS) {
    const remedy = `Send at most ${MAXIMUM_HEADER_LABELS} labels.`;
    return results.Err(failures.create('badInput', 'The request has too many labels.', remedy));
  }
  for (const part of parts) {
    const match = HEADER_LABEL_PATTERN.exec(part.trim());
    if (match === null) {
      const remedy = 'Send comma-separated key=value pairs in the Kumquatfront-Labels header.';
      return results.Err(failures.create('badInput', `Invalid label "${part.trim()}".`, remedy));
    }
    const [, key = '', value = ''] = match;
    labels[key] = value;
  }
  return results.Ok(labels);
}

/** Resolves client accounts and routes by one version of the configuration. */
export class TrafficResolver {
  private accounts = new Map<string, ResolvedAccount>();
  private weights = new Map<string, number>();
  private selectors: CompiledSelector[] = [];

  /** Replaces the accounts and selectors by those of a version of the configuration. */
  update(objects: readonly configuration.ConfigurationObject[]): void {
    const markets = new Map<string, labelSelector.Labels>();
    const deployments = new Map<string, configuration.DeploymentBody>();
    for (const object of objects) {
      if (object.kind === 'market') {
        markets.set(object.name, object.body.labels);
      } else if (object.kind === 'deployment') {
        deployments.set(object.name, object.body);
      }
    }
    this.accounts = new Map();
    this.weights = new Map();
    this.selectors = [];
    for (const object of objects) {
      if (object.kind === 'clientAccount') {
        this.addAccount(object.name, object.body, markets.get(object.body.market) ?? {});
      } else if (object.kind === 'selector') {
        this.addSelector(object.name, object.body, deployments.get(object.body.deployment));
      }
    }
    this.selectors.sort((left, right) => right.route.selector.precedence - left.route.selector.precedence);
  }

  private addAccount(
    name: string,
    body: configuration.ClientAccountBody,
    marketLabels: labelSelector.Labels,
  ): void {
    this.weights.set(name, body.weight ?? DEFAULT_WEIGHT);
    const labels = { ...marketLabels, ...body.labels, account: name, market: body.market };
    for (const hash of body.keyHashes) {
      this.accounts.set(hash, { name, body, labels });
    }
  }

  private addSelector(
    name: string,
    selector: configuration.SelectorBody,
    deployment: configuration.DeploymentBody | undefined,
  ): void {
    const parsed = labelSelector.parse(selector.match);
    if (parsed.ok && deployment !== undefined) {
      this.selectors.push({ route: { selectorName: name, selector, deployment }, match: parsed.val });
    }
  }

  /**
   * Returns the client account of a bearer key. The lookup uses the hash of the key: an attacker cannot
   * choose the hash of a guess, so the timing of the lookup reveals nothing about the key.
   */
  account(key: string): ResolvedAccount | undefined {
    return this.accounts.get(hashKey(key));
  }

  /** Returns the weight of a client account in contended queues. */
  weightOf(name: string): number {
    return this.weights.get(name) ?? DEFAULT_WEIGHT;
  }

  /** Returns the route of the matching selector with the highest precedence. */
  route(labels: labelSelector.Labels): Route | undefined {
    return this.selectors.find((compiled) => labelSelector.matches(compiled.match, labels))?.route;
  }
}
