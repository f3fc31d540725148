/**
 * Online estimation of output lengths. Each key has a histogram with logarithmic buckets and exponential decay. A key
 * with too few observations falls back to less specific keys and finally to a prior.
 */

/** Keys from the most to the least specific, such as account with model, then model alone. */
export type EstimateKeys = readonly string[];

/** Settings of the estimator. */
export interface LengthEstimatorSettings {
  /** Observations required before the histogram of a key is used. */
  readonly minimumObservations: number;
  /** Factor below 1 by which each new observation reduces the weight of the previous ones. */
  readonly decayFactor: number;
  /** Maximum number of keys; the least recently updated one is evicted first. */
  readonly maximumKeys: number;
}

/** Default settings. */
export const defaultSettings: LengthEstimatorSettings = {
  minimumObservations: 8,
  decayFactor: 0.999,
  maximumKeys: 20_000,
};

const BUCKETS_PER_DOUBLING = 3;
const BUCKET_COUNT = 52;
/** Bucket at which the prior peaks: a few hundred tokens. */
const PRIOR_MODE_BUCKET = 24;

/** Steps after which half of the generations longer than any observed are assumed to have ended. */
const UNSEEN_LENGTH_HALF_LIFE = 500;

interface Histogram {
  readonly counts: Float64Array;
  /** Cumulative weight of each bucket and all above it; recomputed on demand after an observation. */
  readonly tailWeights: Float64Array;
  total: number;
  tailsValid: boolean;
}

function createHistogram(): Histogram {
  return {
    counts: new Float64Array(BUCKET_COUNT),
    tailWeights: new Float64Array(BUCKET_COUNT + 1),
    total: 0,
    tailsValid: false,
  };
}

/** Cumulative weight of a bucket and all above it. */
function tailWeight(histogram: Histogram, bucket: number): number {
  if (!histogram.tailsValid) {
    for (let position = BUCKET_COUNT - 1; position >= 0; position -= 1) {
      histogram.tailWeights[position] =
        (histogram.tailWeights[position + 1] ?? 0) + (histogram.counts[position] ?? 0);
    }
    histogram.tailsValid = true;
  }
  return histogram.tailWeights[bucket] ?? 0;
}

function bucketOf(length: number): number {
  const bucket = Math.ceil(Math.log2(Math.max(1, length)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, bucket);
}

const UPPER_EDGES = Float64Array.from(
  { length: BUCKET_COUNT },
  (_, bucket) => 2 ** (bucket / BUCKETS_PER_DOUBLING),
);

function upperEdge(bucket: number): number {
  return UPPER_EDGES[bucket] ?? Number.POSITIVE_INFINITY;
}

function createPrior(): Histogram {
  const prior = createHistogram();
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
    prior.counts[bucket] = Math.exp(-(((bucket - PRIOR_MODE_BUCKET) / 8) ** 2));
  }
  prior.total = tailWeight(prior, 0);
  return prior;
}

function conditionalQuantile(histogram: Histogram, produced: number, quantile: number): number | undefined {
  const first = bucketOf(produced + 1);
  const tail = tailWeight(histogram, first);
  if (tail < 0.5) {
    return undefined;
  }
  let cumulative = 0;
  for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) {
    cumulative += histogram.counts[bucket] ?? 0;
    if (cumulative >= tail * quantile) {
      return Math.max(produced + 1, upperEdge(bucket));
    }
  }
  return undefined;
}

/** Weight of observations longer than `length`, assuming a uniform distribution within a bucket. */
function weightAbove(histogram: Histogram, length: number): number {
  const first = bucketOf(length + 1);
  const weight = tailWeight(histogram, first + 1);
  const lower = first === 0 ? 0 : upperEdge(first - 1);
  const upper = upperEdge(first);
  const share = Math.min(1, Math.max(0, (upper - length) / Math.max(1, upper - lower)));
  return weight + (histogram.counts[first] ?? 0) * share;
}

/**
 * Estimates output lengths in tokens.
 *
 * @example
 * ```ts
 * const estimator = new lengthEstimator.LengthEstimator();
 * estimator.observe(['bursar/report', 'report'], 1800);
 * estimator.quantile(['bursar/report', 'report'], 0, 0.75); // final length, in tokens
 * ```
 */
export class LengthEstimator {
  private readonly settings: LengthEstimatorSettings;
  private readonly histograms = new Map<string, Histogram>();
  private readonly prior = createPrior();

  constructor(settings: LengthEstimatorSettings = defaultSettings) {
    this.settings = settings;
  }

  /** Records the final length of a generation for all its keys. */
  observe(keys: EstimateKeys, length: number): void {
    for (const key of keys) {
      this.observeKey(key, length);
    }
  }

  private observeKey(key: string, length: number): void {
    const histogram = this.histograms.get(key) ?? createHistogram();
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      histogram.counts[bucket] = (histogram.counts[bucket] ?? 0) * this.settings.decayFactor;
    }
    const bucket = bucketOf(length);
    histogram.counts[bucket] = (histogram.counts[bucket] ?? 0) + 1;
    histogram.total = histogram.total * this.settings.decayFactor + 1;
    histogram.tailsValid = false;
    this.histograms.delete(key);
    this.histograms.set(key, histogram);
    this.evictOldest();
  }

  private evictOldest(): void {
    if (this.histograms.size <= this.settings.maximumKeys) {
      return;
    }
    const [oldest] = this.histograms.keys();
    if (oldest !== undefined) {
      this.histograms.delete(oldest);
    }
  }

  /**
   * Quantile of the final length, conditional on `produced` tokens: only observations longer than that are used.
   */
  quantile(keys: EstimateKeys, produced: number, quantile: number): number {
    for (const key of keys) {
      const histogram = this.histograms.get(key);
      if (histogram !== undefined && histogram.total >= this.settings.minimumObservations) {
        const value = conditionalQuantile(histogram, produced, quantile);
        if (value !== undefined) {
          return value;
        }
      }
    }
    return conditionalQuantile(this.prior, produced, quantile) ?? produced * 2;
  }

  /** Probabilities that a generation with `produced` tokens is still running after each number of further steps. */
  survivalProbabilities(keys: EstimateKeys, produced: number, steps: readonly number[]): readonly number[] {
    const histogram = this.histogramFor(keys, produced);
    const currentWeight = weightAbove(histogram, produced);
    if (currentWeight <= 0) {
      return steps.map((step) => UNSEEN_LENGTH_HALF_LIFE / (UNSEEN_LENGTH_HALF_LIFE + step));
    }
    return steps.map((step) => weightAbove(histogram, produced + step) / currentWeight);
  }

  /** Returns the histogram of the most specific key with enough observations, some of them longer than `produced`. */
  private histogramFor(keys: EstimateKeys, produced: number): Histogram {
    for (const key of keys) {
      const histogram = this.histograms.get(key);
      const hasEnoughObservations =
        histogram !== undefined && histogram.total >= this.settings.minimumObservations;
      if (hasEnoughObservations && weightAbove(histogram, produced) >= 0.5) {
        return histogram;
      }
    }
    return this.prior;
  }
}
