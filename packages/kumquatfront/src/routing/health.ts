/**
 * Health of upstreams as this entry has felt it: failures and stalls eject an upstream for a while that
 * doubles with each relapse; afterwards one request at a time tries it again.
 */

/** Settings of the ejection; times in milliseconds. */
export interface HealthSettings {
  readonly firstEjection: number;
  readonly longestEjection: number;
  /** Failures in a row that eject an upstream; a stall ejects it at once. */
  readonly failuresBeforeEjection: number;
}

/** Settings that suit engines which restart within seconds. */
export const defaultSettings: HealthSettings = {
  firstEjection: 2_000,
  longestEjection: 60_000,
  failuresBeforeEjection: 2,
};

interface HealthRecord {
  failures: number;
  ejections: number;
  ejectedUntil: number;
  trialUntil: number;
}

/** What went wrong with an upstream. */
export type HealthEvent = 'failure' | 'stall';

const TRIAL_LENGTH = 2_000;

/** Health of every upstream; see the module comment. */
export class Health {
  private readonly settings: HealthSettings;
  private readonly records = new Map<string, HealthRecord>();

  constructor(settings: HealthSettings = defaultSettings) {
    this.settings = settings;
  }

  succeeded(name: string): void {
    this.records.delete(name);
  }

  /**
   * Notes a failure. A stall counts as worse than a refused connection: a dead upstream costs one
   * connection attempt, a frozen one costs its callers the whole stall timeout each.
   */
  failed(name: string, event: HealthEvent, now: number): void {
    const record = this.records.get(name) ?? { failures: 0, ejections: 0, ejectedUntil: 0, trialUntil: 0 };
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
    return record !== undefined && (record.ejectedUntil > now || record.trialUntil > now);
  }

  /** Notes that a request goes to an upstream; one that comes back from ejection gets one at a time. */
  dispatched(name: string, now: number): void {
    const record = this.records.get(name);
    if (record !== undefined && record.ejections > 0) {
      record.trialUntil = now + TRIAL_LENGTH;
    }
  }
}
