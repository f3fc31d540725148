/**
 * Which services are fragile, from the answers of their upstreams and from what other processes know. The newest statement
 * holds.
 */
import type * as ports from '../kernel/ports.js';
import type * as messages from './messages.js';

/** Time for which a statement holds without another one. */
const RETENTION: ports.Milliseconds = 15_000;

interface Statement {
  readonly maximumRejections: number;
  readonly at: ports.Milliseconds;
}

/** Fragile services as one process knows them. */
export class FragileServices {
  private readonly statements = new Map<string, Statement>();

  /**
   * Records a statement.
   *
   * @param at - time at which it was made; for an answer without one, the time at which its request was sent
   * @returns true if it changes what is known of the service
   */
  record(service: string, maximumRejections: number, at: ports.Milliseconds): boolean {
    const known = this.statements.get(service);
    if (known === undefined ? maximumRejections === 0 : at <= known.at) {
      return false;
    }
    this.statements.set(service, { maximumRejections, at });
    return known?.maximumRejections !== maximumRejections;
  }

  /** Merges records of another process; returns true if they change what is known. */
  merge(records: readonly messages.FragilityRecord[], now: ports.Milliseconds): boolean {
    const changes = records.map(({ service, maximumRejections, age }) =>
      this.record(service, maximumRejections, now - age),
    );
    return changes.includes(true);
  }

  /** Requests that an upstream of a service may have to reject in a second; undefined if it is not fragile. */
  maximumRejectionsOf(service: string, now: ports.Milliseconds): number | undefined {
    const known = this.statements.get(service);
    const holds = known !== undefined && known.maximumRejections > 0 && now - known.at < RETENTION;
    return holds ? known.maximumRejections : undefined;
  }

  /** All statements that still matter. */
  records(now: ports.Milliseconds): readonly messages.FragilityRecord[] {
    const records: messages.FragilityRecord[] = [];
    for (const [service, { maximumRejections, at }] of this.statements) {
      if (now - at < RETENTION) {
        records.push({ service, maximumRejections, age: now - at });
      } else {
        this.statements.delete(service);
      }
    }
    return records;
  }
}
