/**
 * Counts calls against the service-level objectives, minute by minute, so that burn can be reported over
 * several windows and merged over entries.
 */
import type * as configuration from '../configuration/types.js';

/** What an objective measures; milliseconds. */
export type Measure = configuration.ObjectiveBody['measure'];

/** Calls of one minute under one objective. */
export interface BurnCount {
  good: number;
  bad: number;
}

/** Counts of one objective by minute since 1970. */
export type BurnSeries = Readonly<Record<string, BurnCount>>;

/** Counts of every objective of one entry. */
export type BurnCounts = Readonly<Record<string, BurnSeries>>;

const MINUTE = 60_000;
const MINUTES_KEPT = 24 * 60;

interface NamedObjective {
  readonly name: string;
  readonly body: configuration.ObjectiveBody;
}

/** The recorder of one entry; see the module comment. */
export class BurnRecorder {
  private readonly wall: () => number;
  private objectives: readonly NamedObjective[] = [];
  private readonly counts = new Map<string, Map<number, BurnCount>>();

  /**
   * @param wall - milliseconds since 1970
   */
  constructor(wall: () => number) {
    this.wall = wall;
  }

  /** Takes over the objectives of a version of the configuration. */
  update(objects: readonly configuration.ConfigurationObject[]): void {
    const objectives: NamedObjective[] = [];
    for (const object of objects) {
      if (object.kind === 'objective') {
        objectives.push({ name: object.name, body: object.body });
      }
    }
    this.objectives = objectives;
  }

  /** Notes one measured value of a call. */
  record(measure: Measure, urgency: configuration.Urgency, milliseconds: number): void {
    for (const { name, body } of this.objectives) {
      if (body.measure === measure && body.urgency === urgency) {
        this.count(name, milliseconds <= body.threshold);
      }
    }
  }

  private count(name: string, good: boolean): void {
    const minute = Math.floor(this.wall() / MINUTE);
    const series = this.counts.get(name) ?? new Map<number, BurnCount>();
    this.counts.set(name, series);
    const count = series.get(minute) ?? { good: 0, bad: 0 };
    series.set(minute, count);
    if (good) {
      count.good += 1;
    } else {
      count.bad += 1;
    }
    for (const old of series.keys()) {
      if (old > minute - MINUTES_KEPT) {
        break;
      }
      series.delete(old);
    }
  }

  toJson(): BurnCounts {
    return Object.fromEntries(
      [...this.counts].map(([name, series]) => [
        name,
        Object.fromEntries([...series].map(([minute, count]) => [String(minute), { ...count }])),
      ]),
    );
  }
}
