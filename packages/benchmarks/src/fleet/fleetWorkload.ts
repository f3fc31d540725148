/**
 * Samples the generation requests of a simulated fleet: long ones of unknown length and short urgent ones, each class
 * with its own objective. Times in milliseconds, sizes in tokens.
 */
import * as kumquatfront from 'kumquatfront';

/** Arrival rate, sizes, objective and value of one class of generations. */
export interface GenerationClass {
  readonly name: 'long' | 'short';
  readonly rank: number;
  readonly arrivalsPerSecond: number;
  /** Maximum time to the first event for which a caller receives the full value. */
  readonly objective: number;
  /** Time without a first event after which callers abandon the request. */
  readonly abandonsAfter: number;
  readonly deadline: number;
  readonly value: number;
  /** Share of the value that a late or visibly paused answer yields. */
  readonly lateValueShare: number;
  readonly prompt: LogNormal;
  readonly output: LogNormal;
}

/** Log-normal distribution of sizes, clamped to a range. */
export interface LogNormal {
  readonly median: number;
  readonly sigma: number;
  readonly minimum: number;
  readonly maximum: number;
}

/** Sigma of the log-normal error of callers' length hints. */
const HINT_SIGMA = 1.2;

/** One generation that a caller requests. */
export interface GenerationRequest {
  readonly identity: string;
  readonly kind: GenerationClass;
  readonly promptTokens: number;
  /** Not known to the scheduler. */
  readonly outputTokens: number;
  readonly lengthHint: number;
  readonly firstRequestedAt: number;
  /** Time spent waiting before refusals, over all attempts. */
  queueTime: number;
}

function standardNormal(random: kumquatfront.ports.Random): number {
  const radius = Math.sqrt(-2 * Math.log(Math.max(random.next(), 1e-12)));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function sampleSize(random: kumquatfront.ports.Random, distribution: LogNormal): number {
  const value = distribution.median * Math.exp(distribution.sigma * standardNormal(random));
  return Math.round(Math.max(distribution.minimum, Math.min(distribution.maximum, value)));
}

/**
 * Samples one generation request.
 *
 * @param now - time of the caller's first attempt
 * @returns the request
 * @example
 * ```ts
 * fleetWorkload.sampleGeneration(random, longClass, 'g1', time.now());
 * ```
 */
export function sampleGeneration(
  random: kumquatfront.ports.Random,
  kind: GenerationClass,
  identity: string,
  now: number,
): GenerationRequest {
  const outputTokens = sampleSize(random, kind.output);
  const lengthHint = Math.max(1, Math.round(outputTokens * Math.exp(HINT_SIGMA * standardNormal(random))));
  const promptTokens = sampleSize(random, kind.prompt);
  return { identity, kind, promptTokens, outputTokens, lengthHint, firstRequestedAt: now, queueTime: 0 };
}

/**
 * Samples the time to the next arrival of a Poisson process with a slowly varying rate.
 *
 * @param now - milliseconds since the start
 * @returns milliseconds
 * @example
 * ```ts
 * time.after(fleetWorkload.sampleInterarrivalTime(random, 19.4, time.now()), arrive);
 * ```
 */
export function sampleInterarrivalTime(
  random: kumquatfront.ports.Random,
  arrivalsPerSecond: number,
  now: number,
): number {
  const rateFactor = 1 + 0.15 * Math.sin((2 * Math.PI * now) / 11_000);
  return (-Math.log(Math.max(random.next(), 1e-12)) * 1_000) / (arrivalsPerSecond * rateFactor);
}
