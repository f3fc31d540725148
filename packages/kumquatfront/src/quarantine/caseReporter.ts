/**
 * Tells control replicas what this entry holds against contents. Every replica is told directly, so that no leader and
 * no quorum is needed, and again until it has answered: one may be cut off or starting at that moment.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as methods from '../trafficControl/methods.js';
import type * as types from './types.js';

/** A replica that does not answer is told again this often: three times within the second in which all shall know. */
const TELL_AGAIN: ports.Milliseconds = 300;

/** Cases in one message: some ten kilobytes. */
const MOST_CASES_AT_ONCE = 32;

/** What the reporter is made from. */
export interface CaseReporterOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  /** Addresses of the replicas that this entry watches. */
  readonly replicas: () => readonly string[];
  readonly caseOf: (content: string) => types.CaseRecord | undefined;
}

/** The reporter; see the module comment. */
export class CaseReporter {
  private readonly options: CaseReporterOptions;
  /** Contents of which a replica has not acknowledged the newest word, by its address. */
  private readonly untold = new Map<string, Set<string>>();
  /** Replicas that have a message under way. */
  private readonly asked = new Set<string>();

  constructor(options: CaseReporterOptions) {
    this.options = options;
  }

  /** Tells every replica of contents. */
  tellAll(contents: readonly string[]): void {
    for (const address of this.options.replicas()) {
      this.tell(address, contents);
    }
  }

  /** Tells one replica of contents. */
  tell(address: string, contents: readonly string[]): void {
    const untold = this.untold.get(address) ?? new Set<string>();
    this.untold.set(address, untold);
    for (const content of contents) {
      untold.add(content);
    }
    this.send(address);
  }

  private send(address: string): void {
    const { peers, timers, caseOf, replicas } = this.options;
    const untold = this.untold.get(address);
    if (untold === undefined || this.asked.has(address)) {
      return;
    }
    if (untold.size === 0 || !replicas().includes(address)) {
      this.untold.delete(address);
      return;
    }
    const contents = [...untold].slice(0, MOST_CASES_AT_ONCE);
    contents.forEach((content) => untold.delete(content));
    const cases = contents.map(caseOf).filter((record) => record !== undefined);
    this.asked.add(address);
    const message: methods.CaseReport = { cases };
    peers.request(address, methods.methods.cases, message, TELL_AGAIN, (result) => {
      this.asked.delete(address);
      if (result.ok) {
        this.send(address);
        return;
      }
      contents.forEach((content) => untold.add(content));
      timers.after(TELL_AGAIN, () => {
        this.send(address);
      });
    });
  }
}
