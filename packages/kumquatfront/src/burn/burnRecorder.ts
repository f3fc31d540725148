/**
 * Counts calls that meet or miss their service-level objectives, in one-minute buckets, so that the error
 * budget burn can be reported over several windows and merged across entries.
 */
import type * as configuration from '../configuration/types.js';

/** Quantity that an objective measures, in milliseconds. */
export type Measure = configuration.ObjectiveBody['measure'];

/** Calls that met or missed one objective within one minute. */
export interface BurnCount {
  good: number;
  bad: number;
}

/** Counts of one objective, keyed by minutes since the Unix epoch. */
export type BurnSeries = Readonly<Record<string, BurnCount>>;

/** Counts of one entry, keyed by objective name. */
export type BurnCounts = Readonly<Record<string, BurnSeries>>;

const MINUTE = 60_000;
const RETENTION_MINUTES = 24 * 60;

interface NamedObjective {
  readonly name: string;
  readonly body: configuration.ObjectiveBody;
}

/** Records the calls of one entry against the configured objectives. */
export class BurnRecorder {
  private readonly wallClock: () => number;
  private objectives: readonly NamedObjective[] = [];
  private readonly counts = new Map<string, Map<number, BurnCount>>();

  /**
   * @param wallClock - returns the milliseconds since the Unix epoch
   */
  constructor(wallClock: () => number) {
    this.wallClock = wallClock;
  }

  /** Replaces the objectives by those of a version of the configuration. */
  update(objects: readonly configuration.ConfigurationObject[]): void {
    const objectives: NamedObjective[] = [];
    for (const object of objects) {
      if (object.kind === 'objective') {
        objectives.push({ name: object.name, body: object.body });
      }
    }
    this.objectives = objectives;
  }

  /** Records one value of a call. */
  record(measure: Measure, urgency: configuration.Urgency, milliseconds: number): void {
    for (const { name, body } of this.objectives) {
      if (body.measure === measure && body.urgency === urgency) {
        this.increment(name, milliseconds <= body.threshold);
      }
    }
  }

  private increment(name: string, good: boolean): void {
    const minute = Math.floor(this.wallClock() / MINUTE);
    const series = this.counts.get(name) ?? new Map<number, BurnCount>();
    this.counts.set(name, series);
    const count = series.get(minute) ?? { good: 0, bad: 0 };
    series.set(minute, count);
    if (good) {
      count.good += 1;
    } else {
      count.bad += 1;
    }
    for (const recordedMinute of series.keys()) {
      if (recordedMinute > minute - RETENTION_MINUTES) {
        break;
      }
      series.delete(recordedMinute);
    }
  }

  /** Returns the retained counts of all objectives. */
  toJson(): BurnCounts {
    return Object.fromEntries(
      [...this.counts].map(([name, series]) => [
        name,
        Object.fromEntries([...series].map(([minute, count]) => [String(minute), { ...count }])),
      ]),
    );
  }
}
