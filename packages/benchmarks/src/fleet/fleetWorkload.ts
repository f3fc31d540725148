/**
 * Generations as a crowded fleet gets them: long ones of unknown length and short urgent ones, each class with
 * its own objective. Times are milliseconds, sizes are tokens.
 */
import * as kumquatfront from 'kumquatfront';

/** A kind of generation. */
export interface GenerationClass {
  readonly name: 'long' | 'short';
  readonly rank: number;
  /** Arrivals a second. */
  readonly perSecond: number;
  /** Time to the first event that earns the whole worth. */
  readonly objective: number;
  /** Time without a first event after which callers leave. */
  readonly abandonsAfter: number;
  readonly deadline: number;
  readonly worth: number;
  /** Share of the worth that a late answer earns. */
  readonly lateShare: number;
  readonly prompt: LogNormal;
  readonly output: LogNormal;
}

/** Sizes with a long tail. */
export interface LogNormal {
  readonly median: number;
  readonly sigma: number;
  readonly least: number;
  readonly most: number;
}

/** Error of callers' guesses of the length, as sigma of its logarithm. */
const HINT_SIGMA = 1.2;

/** One generation that a caller wants. */
export interface WantedGeneration {
  readonly identity: string;
  readonly kind: GenerationClass;
  readonly promptTokens: number;
  /** Unknown to the system. */
  readonly outputTokens: number;
  readonly lengthHint: number;
  readonly firstAskedAt: number;
  /** Time for which it was kept waiting before it was refused, over all tries. */
  held: number;
}

function standardNormal(random: kumquatfront.ports.Random): number {
  const radius = Math.sqrt(-2 * Math.log(Math.max(random.next(), 1e-12)));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function draw(random: kumquatfront.ports.Random, size: LogNormal): number {
  const value = size.median * Math.exp(size.sigma * standardNormal(random));
  return Math.round(Math.max(size.least, Math.min(size.most, value)));
}

/**
 * Draws one generation.
 *
 * @param random - source of chance
 * @param kind - its class
 * @param identity - its name
 * @param now - when its caller first asks
 * @returns the generation
 * @example
 * ```ts
 * fleetWorkload.drawGeneration(random, longClass, 'g1', time.now());
 * ```
 */
export function drawGeneration(
  random: kumquatfront.ports.Random,
  kind: GenerationClass,
  identity: string,
  now: number,
): WantedGeneration {
  const outputTokens = draw(random, kind.output);
  const lengthHint = Math.max(1, Math.round(outputTokens * Math.exp(HINT_SIGMA * standardNormal(random))));
  const promptTokens = draw(random, kind.prompt);
  return { identity, kind, promptTokens, outputTokens, lengthHint, firstAskedAt: now, held: 0 };
}

/**
 * Time to the next arrival of a Poisson process whose rate swings slowly.
 *
 * @param random - source of chance
 * @param perSecond - mean rate
 * @param now - milliseconds since the start
 * @returns milliseconds
 * @example
 * ```ts
 * time.after(fleetWorkload.nextArrival(random, 19.4, time.now()), arrive);
 * ```
 */
export function nextArrival(random: kumquatfront.ports.Random, perSecond: number, now: number): number {
  const swing = 1 + 0.15 * Math.sin((2 * Math.PI * now) / 11_000);
  return (-Math.log(Math.max(random.next(), 1e-12)) * 1_000) / (perSecond * swing);
}
