/**
 * Generates seeded workloads of long and urgent requests for two deployments. Lengths in tokens, times in milliseconds.
 */
import * as kumquatfront from 'kumquatfront';

/** Size and traffic of a simulated deployment. */
export interface MeasuredDeployment {
  readonly name: string;
  readonly entries: number;
  readonly engines: number;
  readonly memoryTokens: number;
  readonly slots: number;
  /** Median and sigma of the log-normal length of long outputs. */
  readonly medianLongOutput: number;
  readonly longOutputSigma: number;
  readonly meanLongPrompt: number;
  /** Share of the offered output tokens that belongs to short urgent requests. */
  readonly urgentTokenShare: number;
}

/** Tuckshop Ledger: ten engines, urgent questions and long reports. */
export const tuckshop: MeasuredDeployment = {
  name: 'tuckshop',
  entries: 7,
  engines: 10,
  memoryTokens: 16_000,
  slots: 32,
  medianLongOutput: 500,
  longOutputSigma: 0.8,
  meanLongPrompt: 400,
  urgentTokenShare: 0.1,
};

/** Lankaroute: six engines, longer outputs and fewer urgent requests. */
export const lankaroute: MeasuredDeployment = {
  name: 'lankaroute',
  entries: 8,
  engines: 6,
  memoryTokens: 20_000,
  slots: 32,
  medianLongOutput: 800,
  longOutputSigma: 0.9,
  meanLongPrompt: 300,
  urgentTokenShare: 0.06,
};

/** One request of the workload. */
export interface Arrival {
  readonly at: number;
  readonly urgent: boolean;
  readonly account: string;
  readonly entry: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

const ACCOUNTS = 10;
const URGENT_PROMPT = 60;
const URGENT_OUTPUT = 24;
const MAXIMUM_LONG_OUTPUT = 6_000;

function sampleStandardNormal(random: kumquatfront.ports.Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Samples an account; a few large ones get most of the traffic, the first about a third. */
function sampleAccount(random: kumquatfront.ports.Random): string {
  return `account-${Math.floor(ACCOUNTS * random.next() ** 2)}`;
}

function sampleExponential(random: kumquatfront.ports.Random, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}

function sampleLongOutput(deployment: MeasuredDeployment, random: kumquatfront.ports.Random): number {
  const length =
    deployment.medianLongOutput * Math.exp(deployment.longOutputSigma * sampleStandardNormal(random));
  return Math.max(20, Math.min(MAXIMUM_LONG_OUTPUT, Math.round(length)));
}

/**
 * Generates a workload with Poisson arrivals.
 *
 * @param tokensPerSecond - offered load in output tokens per second over all engines
 * @param duration - length of the workload in milliseconds
 * @example
 * ```ts
 * workload.create(workload.tuckshop, 4000, 120_000, 7);
 * ```
 */
export function create(
  deployment: MeasuredDeployment,
  tokensPerSecond: number,
  duration: number,
  seed: number,
): readonly Arrival[] {
  const random = kumquatfront.seededRandom.create(seed);
  const meanLong = deployment.medianLongOutput * Math.exp(deployment.longOutputSigma ** 2 / 2);
  const longInterarrivalTime = 1000 / ((tokensPerSecond * (1 - deployment.urgentTokenShare)) / meanLong);
  const urgentInterarrivalTime = 1000 / ((tokensPerSecond * deployment.urgentTokenShare) / URGENT_OUTPUT);
  const arrivals: Arrival[] = [];
  const sampleEntry = (): number => Math.floor(random.next() * deployment.entries);
  for (
    let at = sampleExponential(random, longInterarrivalTime);
    at < duration;
    at += sampleExponential(random, longInterarrivalTime)
  ) {
    const promptTokens = Math.round(deployment.meanLongPrompt * (0.5 + random.next()));
    const outputTokens = sampleLongOutput(deployment, random);
    arrivals.push({
      at,
      urgent: false,
      account: sampleAccount(random),
      entry: sampleEntry(),
      promptTokens,
      outputTokens,
    });
  }
  for (
    let at = sampleExponential(random, urgentInterarrivalTime);
    at < duration;
    at += sampleExponential(random, urgentInterarrivalTime)
  ) {
    const outputTokens = Math.round(URGENT_OUTPUT * (0.5 + random.next()));
    const promptTokens = URGENT_PROMPT;
    arrivals.push({
      at,
      urgent: true,
      account: sampleAccount(random),
      entry: sampleEntry(),
      promptTokens,
      outputTokens,
    });
  }
  return arrivals.sort((left, right) => left.at - right.at);
}
