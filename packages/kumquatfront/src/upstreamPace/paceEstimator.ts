/**
 * Pace of each upstream, with its uncertainty: the time that it takes for one unit of work. The estimate of an upstream
 * is drawn towards the mean of its service, the more so the fewer observations there are and the less the upstreams of
 * the service differ.
 *
 * Load: upstreams of one service whose paces differ by 2.4 to 1.
 */
import type * as ports from '../kernel/ports.js';

/**
 * Half-life of evidence on plain upstreams. An upstream that is avoided gets one or two probes a second; with this
 * half-life, five of them outweigh what was known, so that its recovery is noticed within seconds.
 */
export const PLAIN_EVIDENCE_HALF_LIFE: ports.Milliseconds = 2_000;

/** Observations that an estimate remembers; with 30 calls a second, a change of pace shows within half a second. */
const MAXIMUM_WEIGHT = 16;

/** Observations that a batch counts as at most, so that one report cannot replace an estimate. */
const MAXIMUM_BATCH_WEIGHT = 8;

/** Limit on how far one observation can differ from the estimate, so that one stall does not distort it. */
const MAXIMUM_CHANGE_FACTOR = 2;

/** Variance of single observations relative to the pace, before any is known: a standard deviation of one half. */
const INITIAL_NOISE = 0.25;
const MINIMUM_NOISE = 0.0025;
const NOISE_SMOOTHING = 1 / 8;

/** Variance between upstreams below which they count as equal: paces that differ by 2 in 100. */
const MINIMUM_SPREAD = 0.000_4;

/** Paces outside of these bounds, in milliseconds per unit of work, are not plausible and are not learned. */
const MINIMUM_PACE = 0.000_1;
const MAXIMUM_PACE = 600_000;

/** Time for which a computed mean of a service is used. */
const SUMMARY_TTL: ports.Milliseconds = 250;

/** An estimated pace. */
export interface Pace {
  /** Milliseconds per unit of work. */
  readonly pace: number;
  /** Standard error, relative to the pace. */
  readonly uncertainty: number;
}

/** The evidence on one upstream. */
export interface Evidence {
  /** Mean of the observations. */
  readonly mean: number;
  /** Number of observations that the mean is worth. */
  readonly weight: number;
  /** Relative variance of single observations of the service. */
  readonly noise: number;
}

interface Sample {
  mean: number;
  weight: number;
  at: ports.Milliseconds;
}

interface Summary {
  readonly mean: number;
  /** Number of observations that the mean of the service counts as. */
  readonly priorWeight: number;
  readonly at: ports.Milliseconds;
}

interface ServiceState {
  readonly samples: Map<string, Sample>;
  noise: number;
  summary: Summary | undefined;
}

function isPlausible(pace: number): boolean {
  return pace >= MINIMUM_PACE && pace <= MAXIMUM_PACE;
}

/** Estimator of paces; see the module comment. */
export class PaceEstimator {
  private readonly services = new Map<string, ServiceState>();
  private readonly now: () => ports.Milliseconds;
  private readonly evidenceHalfLife: ports.Milliseconds;
  private readonly initialPace: number | undefined;

  /**
   * @param evidenceHalfLife - time after which half of the evidence is forgotten, so that an upstream that is not used
   *   returns to the mean
   * @param initialPace - pace before the first observation of a service; undefined if there is none
   */
  constructor(now: () => ports.Milliseconds, evidenceHalfLife: ports.Milliseconds, initialPace?: number) {
    this.now = now;
    this.evidenceHalfLife = evidenceHalfLife;
    this.initialPace = initialPace;
  }

  private stateOf(service: string): ServiceState {
    let state = this.services.get(service);
    if (state === undefined) {
      state = { samples: new Map(), noise: INITIAL_NOISE, summary: undefined };
      this.services.set(service, state);
    }
    return state;
  }

  private weightOf(sample: Sample | undefined): number {
    return sample === undefined
      ? 0
      : sample.weight * 2 ** (-Math.max(0, this.now() - sample.at) / this.evidenceHalfLife);
  }

  private summaryOf(state: ServiceState): Summary | undefined {
    const now = this.now();
    const cached = state.summary;
    if (cached !== undefined && Math.abs(now - cached.at) < SUMMARY_TTL) {
      return cached;
    }
    const samples = [...state.samples.values()].map(({ mean, weight, at }) => ({
      mean,
      weight: Math.max(0.01, this.weightOf({ mean, weight, at })),
    }));
    if (samples.length === 0) {
      return this.initialPace === undefined
        ? undefined
        : { mean: this.initialPace, priorWeight: MAXIMUM_WEIGHT, at: now };
    }
    // An upstream counts in full for the mean once it has about four observations.
    const shares = samples.map(({ weight }) => weight / (weight + 4));
    const total = shares.reduce((sum, share) => sum + share, 0);
    const mean = samples.reduce((sum, sample, index) => sum + (shares[index] ?? 0) * sample.mean, 0) / total;
    const squares = samples.reduce(
      (sum, sample, index) => sum + (shares[index] ?? 0) * (sample.mean / mean - 1) ** 2,
      0,
    );
    const sampling = samples.reduce(
      (sum, { weight }, index) => sum + ((shares[index] ?? 0) * state.noise) / weight,
      0,
    );
    const correction = samples.length / Math.max(1, samples.length - 1);
    const spread = Math.max(MINIMUM_SPREAD, (squares * correction - sampling) / total);
    state.summary = { mean, priorWeight: state.noise / spread, at: now };
    return state.summary;
  }

  /**
   * Estimates the pace of an upstream.
   *
   * @param upstream - identity of the upstream, which a restart changes
   * @returns the pace; undefined if nothing is known of the service
   * @example
   * ```ts
   * estimator.paceOf('i-7f3a@1767312000000', 'billing'); // { pace: 30, uncertainty: 0.1 }
   * ```
   */
  paceOf(upstream: string, service: string): Pace | undefined {
    const state = this.services.get(service);
    if (state === undefined) {
      return this.initialPace === undefined
        ? undefined
        : { pace: this.initialPace, uncertainty: Math.sqrt(INITIAL_NOISE) };
    }
    const summary = this.summaryOf(state);
    if (summary === undefined) {
      return undefined;
    }
    const sample = state.samples.get(upstream);
    const weight = this.weightOf(sample);
    const { mean, priorWeight } = summary;
    const pace = ((sample?.mean ?? mean) * weight + mean * priorWeight) / (weight + priorWeight);
    return { pace, uncertainty: Math.sqrt(state.noise / (weight + priorWeight)) };
  }

  /**
   * Records observations of an upstream. One call changes the estimate by a bounded amount.
   *
   * @param upstream - identity of the upstream
   * @param pace - mean of the observations, in milliseconds per unit of work
   * @example
   * ```ts
   * estimator.observe('i-7f3a@1767312000000', 'billing', 31.5);
   * ```
   */
  observe(upstream: string, service: string, pace: number, count = 1): void {
    if (!isPlausible(pace) || !(count >= 1)) {
      return;
    }
    const state = this.stateOf(service);
    const current = this.paceOf(upstream, service)?.pace ?? pace;
    const bounded = Math.min(
      current * MAXIMUM_CHANGE_FACTOR,
      Math.max(current / MAXIMUM_CHANGE_FACTOR, pace),
    );
    const added = Math.min(count, MAXIMUM_BATCH_WEIGHT);
    const deviation = Math.min(1, (bounded / current - 1) ** 2 * added);
    state.noise = Math.max(MINIMUM_NOISE, state.noise + NOISE_SMOOTHING * (deviation - state.noise));
    const sample = state.samples.get(upstream);
    const weight = Math.min(this.weightOf(sample), MAXIMUM_WEIGHT - added);
    const mean = ((sample?.mean ?? bounded) * weight + bounded * added) / (weight + added);
    state.samples.set(upstream, { mean, weight: weight + added, at: this.now() });
    state.summary = undefined;
  }

  /** Evidence on an upstream; undefined if there is none. */
  evidenceOf(upstream: string, service: string): Evidence | undefined {
    const state = this.services.get(service);
    const sample = state?.samples.get(upstream);
    return state === undefined || sample === undefined
      ? undefined
      : { mean: sample.mean, weight: this.weightOf(sample), noise: state.noise };
  }

  /** Replaces the evidence on an upstream by that of all entries, unless that is much weaker. */
  adopt(upstream: string, service: string, { mean, weight, noise }: Evidence): void {
    if (!isPlausible(mean) || !(weight > 0) || !(noise > 0)) {
      return;
    }
    const state = this.stateOf(service);
    // A new coordinator knows little at first; half lets its table still replace few observations of an entry.
    if (weight < this.weightOf(state.samples.get(upstream)) / 2) {
      return;
    }
    state.samples.set(upstream, { mean, weight: Math.min(MAXIMUM_WEIGHT, weight), at: this.now() });
    state.noise = Math.min(1, Math.max(MINIMUM_NOISE, noise));
    state.summary = undefined;
  }

  /** Removes an upstream that has ended or restarted. */
  remove(upstream: string): void {
    for (const [service, state] of this.services) {
      if (state.samples.delete(upstream)) {
        state.summary = undefined;
      }
      if (state.samples.size === 0) {
        this.services.delete(service);
      }
    }
  }

  /** Removes all upstreams that a predicate does not hold for. */
  retain(isKnown: (upstream: string) => boolean): void {
    for (const state of [...this.services.values()]) {
      for (const upstream of [...state.samples.keys()]) {
        if (!isKnown(upstream)) {
          this.remove(upstream);
        }
      }
    }
  }
}
