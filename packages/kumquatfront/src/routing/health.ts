/**
 * Outlier detection of upstreams, based on the failures and stalls that this process observes. An upstream is ejected
 * for a time that doubles with each ejection; afterwards it is probed with one request at a time.
 */

/** Settings of outlier detection; times in milliseconds. */
export interface HealthSettings {
  readonly firstEjection: number;
  readonly longestEjection: number;
  /** Consecutive failures after which an upstream is ejected; a stall ejects it immediately. */
  readonly failuresBeforeEjection: number;
}

/** Default settings, for engines that restart within seconds. */
export const defaultSettings: HealthSettings = {
  firstEjection: 2_000,
  longestEjection: 60_000,
  failuresBeforeEjection: 2,
};

interface EjectionState {
  failures: number;
  ejections: number;
  ejectedUntil: number;
  probeUntil: number;
}

/** The kind of failure observed at an upstream. */
export type HealthEvent = 'failure' | 'stall';

const PROBE_TIMEOUT = 2_000;

/** Ejects and probes unhealthy upstreams; see the module comment. */
export class Health {
  private readonly settings: HealthSettings;
  private readonly records = new Map<string, EjectionState>();

  constructor(settings: HealthSettings = defaultSettings) {
    this.settings = settings;
  }

  succeeded(name: string): void {
    this.records.delete(name);
  }

  /**
   * Records a failure. A stall ejects immediately: a crashed upstream costs one refused connection, but a frozen
   * one delays every caller by the full stall timeout.
   */
  failed(name: string, event: HealthEvent, now: number): void {
    const record = this.records.get(name) ?? { failures: 0, ejections: 0, ejectedUntil: 0, probeUntil: 0 };
    record.failures += 1;
    if (event === 'stall' || record.failures >= this.settings.failuresBeforeEjection) {
      const length = this.settings.firstEjection * 2 ** record.ejections;
      record.ejectedUntil = now + Math.min(this.settings.longestEjection, length);
      record.ejections += 1;
      record.failures = 0;
    }
    this.records.set(name, record);
  }

  forget(name: string): void {
    this.records.delete(name);
  }

  isEjected(name: string, now: number): boolean {
    const record = this.records.get(name);
    return record !== undefined && (record.ejectedUntil > now || record.probeUntil > now);
  }

  /** Records a dispatch; an upstream that returns from ejection receives one request per probe timeout. */
  dispatched(name: string, now: number): void {
    const record = this.records.get(name);
    if (record !== undefined && record.ejections > 0) {
      record.probeUntil = now + PROBE_TIMEOUT;
    }
  }
}
