/**
 * The mechanisms of placement by name, each of which can be switched off by the settings of control. Off is for
 * measurement: what a day earns with and without a mechanism tells what it is worth.
 */
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';

/** Names of the mechanisms; see the module that each stands in. */
export const NAMES = [
  /** Time to the first event by what is read before counts in a placement. */
  'readingPace',
  /** The forecast of memory bounds what an engine takes. */
  'memoryBound',
  /** Generations are moved off engines that leave. */
  'evacuation',
  /** Callers that come back are recognised, and their objective counts from their first question. */
  'returningCallers',
  /** Those that can be in time go before late ones, which only get slack. */
  'lateLast',
  /** Among equals the shorter forecast goes first. */
  'shorterFirst',
] as const;

/** One of the mechanisms. */
export type Mechanism = (typeof NAMES)[number];

/** Tells whether a mechanism is in use. */
export type IsOn = (mechanism: Mechanism) => boolean;

/** Everything is in use. */
export const allOn: IsOn = () => true;

function isMechanism(name: unknown): name is Mechanism {
  return NAMES.some((known) => known === name);
}

/**
 * Reads the names of mechanisms that are switched off.
 *
 * @param names - the names, as the settings give them
 * @returns what tells whether a mechanism is in use, or a `badInput` failure
 * @example
 * ```ts
 * const isOn = mechanisms.without(['evacuation']);
 * ```
 */
export function without(names: readonly unknown[]): results.Result<IsOn, failures.Failure> {
  const unknown = names.find((name) => !isMechanism(name));
  if (unknown !== undefined) {
    const message = `There is no mechanism ${JSON.stringify(unknown)} to switch off.`;
    return results.Err(failures.create('badInput', message, `Name some of: ${NAMES.join(', ')}.`));
  }
  const off = new Set(names);
  return results.Ok((mechanism) => !off.has(mechanism));
}
