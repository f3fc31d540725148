/**
 * Sends the crash records of this entry to the control replicas. Each replica is sent its own report, so that neither a
 * leader nor a quorum is needed, and reports are retried until acknowledged. While no replica answers, some other entries
 * are sent the reports, and pass on what is new to them.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as methods from '../trafficControl/methods.js';
import type * as types from './types.js';

/** Request timeout, and delay before the retry of a failed report. */
const RETRY_INTERVAL: ports.Milliseconds = 300;

/** Limits the size of one message to about ten kilobytes. */
const MAXIMUM_RECORDS_PER_MESSAGE = 32;

/** Entries that are sent a report while no replica answers. */
const FAN_OUT = 16;

/** Dependencies of the reporter. */
export interface CrashReporterOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  /** Addresses of the control replicas that this entry watches. */
  readonly replicas: () => readonly string[];
  readonly recordOf: (content: string) => types.CrashRecord | undefined;
  /** Finds other entries. */
  readonly findEntries: (count: number, done: (addresses: readonly string[]) => void) => void;
}

/** Reports crash records to control replicas; see the module comment. */
export class CrashReporter {
  private readonly options: CrashReporterOptions;
  /** Contents whose latest record a replica has not acknowledged yet, by replica address. */
  private readonly pending = new Map<string, Set<string>>();
  /** Addresses of replicas with a request in flight. */
  private readonly inFlight = new Set<string>();
  /** Contents whose latest record neither a replica nor another entry was sent. */
  private readonly untold = new Set<string>();

  constructor(options: CrashReporterOptions) {
    this.options = options;
  }

  /** Reports the crash records of contents to every replica. */
  reportToAll(contents: readonly string[]): void {
    const replicas = this.options.replicas();
    contents.forEach((content) => this.untold.add(content));
    for (const address of replicas) {
      this.reportTo(address, contents);
    }
    if (replicas.length === 0) {
      this.reportToEntries(contents);
    }
  }

  private reportToEntries(contents: readonly string[]): void {
    const { peers, recordOf, findEntries } = this.options;
    const untold = contents.filter((content) => this.untold.delete(content));
    if (untold.length === 0) {
      return;
    }
    const cases = untold.map(recordOf).filter((record) => record !== undefined);
    const message: methods.CrashRecordReport = { cases };
    findEntries(FAN_OUT, (addresses) => {
      for (const address of addresses) {
        peers.notify(address, methods.methods.crashRecords, message);
      }
    });
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
        contents.forEach((content) => this.untold.delete(content));
        this.send(address);
        return;
      }
      this.reportToEntries(contents);
      contents.forEach((content) => pending.add(content));
      timers.after(RETRY_INTERVAL, () => {
        this.send(address);
      });
    });
  }
}
