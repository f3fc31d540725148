/**
 * Feature flags of entries and of the placement coordinator. The `switchedOff` setting of a process disables features
 * by name, so that their effect can be evaluated.
 */
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';

/** Names of the features, as used in the settings. */
export const FEATURES = [
  /** Placement takes into account the prompts that an engine must process before the first event. */
  'readingPace',
  /** The memory forecast limits which generations an engine accepts. */
  'memoryBound',
  /** Generations are moved off draining engines. */
  'evacuation',
  /** The objective of a retry after a refusal counts from the caller's first attempt. */
  'returningCallers',
  /** Requests that can meet their objective precede late ones, which only get spare capacity. */
  'lateLast',
  /** Among requests of equal priority, the shortest forecast output goes first. */
  'shorterFirst',
  /** Prefill is forecast for each engine, and capacity is kept for urgent generations. */
  'prefillScheduling',
  /** Capacity that is short is divided between client accounts by weight. */
  'accountShares',
  /** Upstreams are selected by their own pace and their current slowdown. */
  'upstreamPace',
  /** Prompts are kept away from engines where they would pause running streams for too long. */
  'pauseProtection',
  /** Callers are directed to entries in proportion to their free capacity. */
  'entryCapacity',
  /** Entries lend each other unused shares of common limits. */
  'sharedLimits',
] as const;

/** Name of a placement feature. */
export type Feature = (typeof FEATURES)[number];

/** Returns whether a feature is enabled. */
export type IsEnabled = (feature: Feature) => boolean;

/** Enables every feature. */
export const allEnabled: IsEnabled = () => true;

function isFeature(name: unknown): name is Feature {
  return FEATURES.some((known) => known === name);
}

/**
 * Parses the names of disabled features.
 *
 * @param names - names from the settings
 * @returns a predicate for enabled features, or a `badInput` failure for an unknown name
 * @example
 * ```ts
 * const isEnabled = placementFeatures.withDisabled(['evacuation']);
 * ```
 */
export function withDisabled(names: readonly unknown[]): results.Result<IsEnabled, failures.Failure> {
  const unknownName = names.find((name) => !isFeature(name));
  if (unknownName !== undefined) {
    const message = `Unknown placement feature ${JSON.stringify(unknownName)} in the list of disabled features.`;
    return results.Err(failures.create('badInput', message, `Name some of: ${FEATURES.join(', ')}.`));
  }
  const disabled = new Set(names);
  return results.Ok((feature) => !disabled.has(feature));
}
