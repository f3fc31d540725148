/**
 * Outlier detection of upstreams, based on the failures and stalls that this process observes. An upstream is ejected
 * for a time that doubles with each ejection; afterwards it is probed with one request at a time.
 */

/** Settings of outlier detection; times in milliseconds. */
export interface OutlierDetectionSettings {
  readonly baseEjectionTime: number;
  readonly maximumEjectionTime: number;
  /** Consecutive failures after which an upstream is ejected; a stall ejects it immediately. */
  readonly consecutiveFailures: number;
}

/** Default settings, for engines that restart within seconds. */
export const defaultSettings: OutlierDetectionSettings = {
  baseEjectionTime: 2_000,
  maximumEjectionTime: 60_000,
  consecutiveFailures: 2,
};

interface EjectionState {
  failures: number;
  ejections: number;
  ejectedUntil: number;
  probeUntil: number;
}

/** The kind of failure observed at an upstream. */
export type FailureKind = 'failure' | 'stall';

const PROBE_TIMEOUT = 2_000;

/** Ejects and probes unhealthy upstreams; see the module comment. */
export class OutlierDetector {
  private readonly settings: OutlierDetectionSettings;
  private readonly records = new Map<string, EjectionState>();

  constructor(settings: OutlierDetectionSettings = defaultSettings) {
    this.settings = settings;
  }

  recordSuccess(name: string): void {
    this.records.delete(name);
  }

  /**
   * Records a failure. A stall ejects immediately: a crashed upstream costs one refused connection, but a frozen
   * one delays every caller by the full stall timeout.
   */
  recordFailure(name: string, event: FailureKind, now: number): void {
    const record = this.records.get(name) ?? { failures: 0, ejections: 0, ejectedUntil: 0, probeUntil: 0 };
    record.failures += 1;
    if (event === 'stall' || record.failures >= this.settings.consecutiveFailures) {
      const length = this.settings.baseEjectionTime * 2 ** record.ejections;
      record.ejectedUntil = now + Math.min(this.settings.maximumEjectionTime, length);
      record.ejections += 1;
      record.failures = 0;
    }
    this.records.set(name, record);
  }

  removeUpstream(name: string): void {
    this.records.delete(name);
  }

  isEjected(name: string, now: number): boolean {
    const record = this.records.get(name);
    return record !== undefined && (record.ejectedUntil > now || record.probeUntil > now);
  }

  /** Records a dispatch; an upstream that returns from ejection receives one request per probe timeout. */
  recordDispatch(name: string, now: number): void {
    const record = this.records.get(name);
    if (record !== undefined && record.ejections > 0) {
      record.probeUntil = now + PROBE_TIMEOUT;
    }
  }
}
