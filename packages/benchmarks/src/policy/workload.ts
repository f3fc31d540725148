/**
 * Seeded workloads of the two deployments. Lengths are tokens, times milliseconds.
 */
import * as kumquatfront from 'kumquatfront';

/** One deployment as the measurement runs it. */
export interface MeasuredDeployment {
  readonly name: string;
  readonly entries: number;
  readonly engines: number;
  readonly memoryTokens: number;
  readonly slots: number;
  /** Median and spread (of the logarithm) of long outputs. */
  readonly longMedian: number;
  readonly longSpread: number;
  readonly longPrompt: number;
  /** Share of offered tokens that are short urgent calls to engines. */
  readonly urgentShare: number;
}

/** Tuckshop Ledger: ten runners, urgent questions beside long reports. */
export const tuckshop: MeasuredDeployment = {
  name: 'tuckshop',
  entries: 7,
  engines: 10,
  memoryTokens: 16_000,
  slots: 32,
  longMedian: 500,
  longSpread: 0.8,
  longPrompt: 400,
  urgentShare: 0.1,
};

/** Lankaroute: six runners, longer route sheets. */
export const lankaroute: MeasuredDeployment = {
  name: 'lankaroute',
  entries: 8,
  engines: 6,
  memoryTokens: 20_000,
  slots: 32,
  longMedian: 800,
  longSpread: 0.9,
  longPrompt: 300,
  urgentShare: 0.06,
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
const LONGEST = 6_000;

function normal(random: kumquatfront.ports.Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** A few large accounts: the first gets about a third of the traffic. */
function accountOf(random: kumquatfront.ports.Random): string {
  return `account-${Math.floor(ACCOUNTS * random.next() ** 2)}`;
}

function exponential(random: kumquatfront.ports.Random, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}

function longLength(deployment: MeasuredDeployment, random: kumquatfront.ports.Random): number {
  const length = deployment.longMedian * Math.exp(deployment.longSpread * normal(random));
  return Math.max(20, Math.min(LONGEST, Math.round(length)));
}

/**
 * Makes a workload.
 *
 * @param deployment - whose traffic
 * @param tokensPerSecond - offered output tokens a second over all engines
 * @param duration - length of the workload
 * @param seed - a whole number
 * @returns the requests in order of time
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
  const meanLong = deployment.longMedian * Math.exp(deployment.longSpread ** 2 / 2);
  const longGap = 1000 / ((tokensPerSecond * (1 - deployment.urgentShare)) / meanLong);
  const urgentGap = 1000 / ((tokensPerSecond * deployment.urgentShare) / URGENT_OUTPUT);
  const arrivals: Arrival[] = [];
  const entryOf = (): number => Math.floor(random.next() * deployment.entries);
  for (let at = exponential(random, longGap); at < duration; at += exponential(random, longGap)) {
    const promptTokens = Math.round(deployment.longPrompt * (0.5 + random.next()));
    const outputTokens = longLength(deployment, random);
    arrivals.push({
      at,
      urgent: false,
      account: accountOf(random),
      entry: entryOf(),
      promptTokens,
      outputTokens,
    });
  }
  for (let at = exponential(random, urgentGap); at < duration; at += exponential(random, urgentGap)) {
    const outputTokens = Math.round(URGENT_OUTPUT * (0.5 + random.next()));
    const promptTokens = URGENT_PROMPT;
    arrivals.push({
      at,
      urgent: true,
      account: accountOf(random),
      entry: entryOf(),
      promptTokens,
      outputTokens,
    });
  }
  return arrivals.sort((left, right) => left.at - right.at);
}
