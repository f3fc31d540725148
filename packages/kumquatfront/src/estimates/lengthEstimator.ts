/**
 * On-line estimates of output length. Each key keeps a histogram over logarithmic buckets whose old counts
 * fade; a key that has seen too little answers with what its parent knows, down to a prior.
 */

/** Keys from the most to the least specific, such as account, model and traffic. */
export type EstimateKeys = readonly string[];

/** Settings of the estimator. */
export interface LengthEstimatorSettings {
  /** Observations a key needs before its own histogram is used. */
  readonly minimumCount: number;
  /** Weight an old observation keeps when a new one arrives, below 1. */
  readonly fading: number;
  /** Keys remembered at most; the one unused for longest goes first. */
  readonly maximumKeys: number;
}

/** Settings that suit a day's mix of traffic. */
export const defaultSettings: LengthEstimatorSettings = {
  minimumCount: 8,
  fading: 0.999,
  maximumKeys: 20_000,
};

const BUCKETS_PER_DOUBLING = 3;
const BUCKET_COUNT = 52;
/** Prior: most outputs are a few hundred tokens, some are thousands. */
const PRIOR_MEDIAN_BUCKET = 24;

/** Steps after which half of the generations that are longer than any seen are taken to have ended. */
const UNKNOWN_HALF_LIFE = 500;

interface Histogram {
  readonly counts: Float64Array;
  /** Weight of each bucket and all above it; made anew when it is first needed after an observation. */
  readonly tails: Float64Array;
  total: number;
  tailsAreCurrent: boolean;
}

function createHistogram(): Histogram {
  return {
    counts: new Float64Array(BUCKET_COUNT),
    tails: new Float64Array(BUCKET_COUNT + 1),
    total: 0,
    tailsAreCurrent: false,
  };
}

/** Weight of the observations in a bucket and above. */
function tailOf(histogram: Histogram, bucket: number): number {
  if (!histogram.tailsAreCurrent) {
    for (let position = BUCKET_COUNT - 1; position >= 0; position -= 1) {
      histogram.tails[position] = (histogram.tails[position + 1] ?? 0) + (histogram.counts[position] ?? 0);
    }
    histogram.tailsAreCurrent = true;
  }
  return histogram.tails[bucket] ?? 0;
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
    prior.counts[bucket] = Math.exp(-(((bucket - PRIOR_MEDIAN_BUCKET) / 8) ** 2));
  }
  prior.total = tailOf(prior, 0);
  return prior;
}

function conditionalQuantile(histogram: Histogram, produced: number, quantile: number): number | undefined {
  const first = bucketOf(produced + 1);
  const tail = tailOf(histogram, first);
  if (tail < 0.5) {
    return undefined;
  }
  let seen = 0;
  for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) {
    seen += histogram.counts[bucket] ?? 0;
    if (seen >= tail * quantile) {
      return Math.max(produced + 1, upperEdge(bucket));
    }
  }
  return undefined;
}

/** Weight of observations longer than `length`; within a bucket they are taken as spread evenly. */
function weightBeyond(histogram: Histogram, length: number): number {
  const first = bucketOf(length + 1);
  const weight = tailOf(histogram, first + 1);
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

  /** Learns the final length of a generation under all its keys. */
  observe(keys: EstimateKeys, length: number): void {
    for (const key of keys) {
      this.observeKey(key, length);
    }
  }

  private observeKey(key: string, length: number): void {
    const histogram = this.histograms.get(key) ?? createHistogram();
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      histogram.counts[bucket] = (histogram.counts[bucket] ?? 0) * this.settings.fading;
    }
    const bucket = bucketOf(length);
    histogram.counts[bucket] = (histogram.counts[bucket] ?? 0) + 1;
    histogram.total = histogram.total * this.settings.fading + 1;
    histogram.tailsAreCurrent = false;
    this.histograms.delete(key);
    this.histograms.set(key, histogram);
    this.forgetOldest();
  }

  private forgetOldest(): void {
    if (this.histograms.size <= this.settings.maximumKeys) {
      return;
    }
    const [oldest] = this.histograms.keys();
    if (oldest !== undefined) {
      this.histograms.delete(oldest);
    }
  }

  /**
   * Final length that a share `quantile` of comparable generations stays under, given that `produced`
   * tokens exist already. A generation that outlived its estimate is judged by those that did so before.
   */
  quantile(keys: EstimateKeys, produced: number, quantile: number): number {
    for (const key of keys) {
      const histogram = this.histograms.get(key);
      if (histogram !== undefined && histogram.total >= this.settings.minimumCount) {
        const value = conditionalQuantile(histogram, produced, quantile);
        if (value !== undefined) {
          return value;
        }
      }
    }
    return conditionalQuantile(this.prior, produced, quantile) ?? produced * 2;
  }

  /** Probability that a generation with `produced` tokens is still alive after each number of further steps. */
  survival(keys: EstimateKeys, produced: number, steps: readonly number[]): readonly number[] {
    const histogram = this.histogramFor(keys, produced);
    const now = weightBeyond(histogram, produced);
    if (now <= 0) {
      return steps.map((step) => UNKNOWN_HALF_LIFE / (UNKNOWN_HALF_LIFE + step));
    }
    return steps.map((step) => weightBeyond(histogram, produced + step) / now);
  }

  /** The histogram of the most specific key that has seen enough generations as long as this one. */
  private histogramFor(keys: EstimateKeys, produced: number): Histogram {
    for (const key of keys) {
      const histogram = this.histograms.get(key);
      const enough = histogram !== undefined && histogram.total >= this.settings.minimumCount;
      if (enough && weightBeyond(histogram, produced) >= 0.5) {
        return histogram;
      }
    }
    return this.prior;
  }
}
