/**
 * From a caller's key and labels to the selector that governs the request.
 */
import * as crypto from 'node:crypto';

import type * as configuration from '../configuration/types.js';
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import * as labelSelector from './labelSelector.js';

/** A client account that was recognised. */
export interface ResolvedAccount {
  readonly name: string;
  readonly body: configuration.ClientAccountBody;
  readonly labels: labelSelector.Labels;
}

/** The route of a request. */
export interface Route {
  readonly selectorName: string;
  readonly selector: configuration.SelectorBody;
  readonly deployment: configuration.DeploymentBody;
}

interface CompiledSelector {
  readonly route: Route;
  readonly match: labelSelector.LabelSelector;
}

const HEADER_LABEL = /^([A-Za-z0-9][A-Za-z0-9._/-]{0,62})=([A-Za-z0-9][A-Za-z0-9._-]{0,62})$/;
const MAXIMUM_HEADER_LABELS = 16;
const DEFAULT_WEIGHT = 1;

/**
 * Hash under which a bearer key is configured.
 *
 * @param key - the key as the caller sends it
 * @returns SHA-256 in hexadecimal
 * @example
 * ```ts
 * trafficResolver.hashKey('school-1-key');
 * ```
 */
export function hashKey(key: string): string {
  return crypto.createHash('sha256').update(key).digest('hex');
}

/**
 * Parses the labels that a caller sends in a header.
 *
 * @param header - `traffic=balance,urgent-desk=3`, or undefined
 * @returns the labels, or a `badInput` failure that names the one at fault
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
    const remedy = `Send at most ${MAXIMUM_HEADER_LABELS}.`;
    return results.Err(failures.create('badInput', 'There are too many labels.', remedy));
  }
  for (const part of parts) {
    const match = HEADER_LABEL.exec(part.trim());
    if (match === null) {
      const remedy = 'Send key=value pairs separated by commas in Kumquatfront-Labels.';
      return results.Err(
        failures.create('badInput', `The label "${part.trim()}" is not understood.`, remedy),
      );
    }
    const [, key = '', value = ''] = match;
    labels[key] = value;
  }
  return results.Ok(labels);
}

/** Accounts and selectors, compiled from one version of the configuration. */
export class TrafficResolver {
  private accounts = new Map<string, ResolvedAccount>();
  private weights = new Map<string, number>();
  private selectors: CompiledSelector[] = [];

  /** Compiles a version of the configuration. */
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
   * Finds the account of a bearer key. The look-up goes by hash: its time tells nothing of the key itself,
   * since whoever guesses cannot choose what the guess hashes to.
   */
  account(key: string): ResolvedAccount | undefined {
    return this.accounts.get(hashKey(key));
  }

  /** Weight of an account in contended queues; asked at every turn of a queue. */
  weightOf(name: string): number {
    return this.weights.get(name) ?? DEFAULT_WEIGHT;
  }

  /** The selector of highest precedence that matches. */
  route(labels: labelSelector.Labels): Route | undefined {
    return this.selectors.find((compiled) => labelSelector.matches(compiled.match, labels))?.route;
  }
}
