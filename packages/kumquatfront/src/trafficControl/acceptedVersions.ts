/**
 * Configuration versions that control has accepted and that are not in force at an entry yet, and until when the entry may
 * act on the older configuration.
 */
import type * as ports from '../kernel/ports.js';

/**
 * Part of the allowed time that is kept for what the entry cannot see: the time between an acknowledgement and its
 * application at the replica that reports it, and the way of the report.
 */
const REPORT_ALLOWANCE: ports.Milliseconds = 400;

/**
 * Minimum time to fetch a version after it was first reported. An entry that was partitioned receives old changes, and
 * fetches them without refusing its callers meanwhile.
 */
const MINIMUM_FETCH_TIME: ports.Milliseconds = 800;

/** Versions that an entry lacks, each with the end of the time to bring it in force. */
export class AcceptedVersions {
  private readonly deadlines = new Map<number, ports.Milliseconds>();

  /** @param inForceWithin - time from an acknowledgement within which no entry acts on an older configuration */
  constructor(private readonly inForceWithin: ports.Milliseconds) {}

  /** Records that a replica has applied a version some time ago. */
  record(version: number, age: ports.Milliseconds, now: ports.Milliseconds): void {
    const acceptedAt = now - age;
    const deadline = Math.max(acceptedAt + this.inForceWithin - REPORT_ALLOWANCE, now + MINIMUM_FETCH_TIME);
    this.deadlines.set(version, Math.min(deadline, this.deadlines.get(version) ?? deadline));
  }

  /** Records that a version is in force at the entry. */
  onInForce(version: number): void {
    for (const accepted of this.deadlines.keys()) {
      if (accepted <= version) {
        this.deadlines.delete(accepted);
      }
    }
  }

  /** Time at which the entry must stop acting on its configuration; infinite if it lacks no version. */
  get deadline(): ports.Milliseconds {
    return Math.min(...this.deadlines.values());
  }
}
