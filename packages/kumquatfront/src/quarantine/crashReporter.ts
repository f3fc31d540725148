/**
 * Sends the crash records of this entry to the control replicas. Each replica is sent its own report, so that neither a
 * leader nor a quorum is needed, and reports are retried until acknowledged.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as methods from '../trafficControl/methods.js';
import type * as types from './types.js';

/** Request timeout, and delay before the retry of a failed report. */
const RETRY_INTERVAL: ports.Milliseconds = 300;

/** Limits the size of one message to about ten kilobytes. */
const MAXIMUM_RECORDS_PER_MESSAGE = 32;

/** Dependencies of the reporter. */
export interface CrashReporterOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  /** Addresses of the control replicas that this entry watches. */
  readonly replicas: () => readonly string[];
  readonly recordOf: (content: string) => types.CrashRecord | undefined;
}

/** Reports crash records to control replicas; see the module comment. */
export class CrashReporter {
  private readonly options: CrashReporterOptions;
  /** Contents whose latest record a replica has not acknowledged yet, by replica address. */
  private readonly pending = new Map<string, Set<string>>();
  /** Addresses of replicas with a request in flight. */
  private readonly inFlight = new Set<string>();

  constructor(options: CrashReporterOptions) {
    this.options = options;
  }

  /** Reports the crash records of contents to every replica. */
  reportToAll(contents: readonly string[]): void {
    for (const address of this.options.replicas()) {
      this.reportTo(address, contents);
    }
  }

  /** Reports the crash records of contents to one replica. */
  reportTo(address: string, contents: readonly string[]): void {
    const pending = this.pending.get(address) ?? new Set<string>();
    this.pending.set(address, pending);
    for (const content of contents) {
      pending.add(content);
    }
    this.send(address);
  }

  private send(address: string): void {
    const { peers, timers, recordOf, replicas } = this.options;
    const pending = this.pending.get(address);
    if (pending === undefined || this.inFlight.has(address)) {
      return;
    }
    if (pending.size === 0 || !replicas().includes(address)) {
      this.pending.delete(address);
      return;
    }
    const contents = [...pending].slice(0, MAXIMUM_RECORDS_PER_MESSAGE);
    contents.forEach((content) => pending.delete(content));
    const records = contents.map(recordOf).filter((record) => record !== undefined);
    this.inFlight.add(address);
    const message: methods.CrashRecordReport = { cases: records };
    peers.request(address, methods.methods.crashRecords, message, RETRY_INTERVAL, (result) => {
      this.inFlight.delete(address);
      if (result.ok) {
        this.send(address);
        return;
      }
      contents.forEach((content) => pending.add(content));
      timers.after(RETRY_INTERVAL, () => {
        this.send(address);
      });
    });
  }
}
