/**
 * Test harness of shared limits: retry budgets of many entries, lease holders and the messages between them, on
 * virtual time. Messages can be late, lost and reordered; processes restart and their clocks can be set.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as serviceRetryBudget from '../relay/serviceRetryBudget.js';
import * as leaseClient from './leaseClient.js';
import * as leaseLedger from './leaseLedger.js';
import type * as leaseMessages from './leaseMessages.js';
import * as windowedShare from './windowedShare.js';

/** Window of the limit. */
export const WINDOW: ports.Milliseconds = 10_000;

/** Service whose retries are limited. */
export const SERVICE = 'app';

const noop = (): void => undefined;
const log: ports.Log = { debug: noop, info: noop, warn: noop, error: noop };
const metrics: ports.Metrics = { count: noop, gauge: noop, timing: noop };

interface Process {
  readonly timers: timerService.TimerService;
  /** Difference of the process's clock from virtual time. */
  clockOffset: ports.Milliseconds;
}

interface Holder extends Process {
  readonly ledger: leaseLedger.LeaseLedger;
}

interface Entry extends Process {
  readonly budget: serviceRetryBudget.ServiceRetryBudget;
}

/** Settings of the harness. */
export interface LeaseTestSettings {
  readonly entries: number;
  readonly slack: number;
  /** Retries permitted per request; none if omitted. */
  readonly ratio?: number;
  readonly seed?: number;
  /** False for entries that run without leases. */
  readonly usesLeases?: (entry: number) => boolean;
}

/** Fleet with a shared limit; see the module comment. */
export class LeaseTestHarness {
  readonly time = new virtualTime.VirtualTime();
  readonly random: ports.Random;
  /** Times at which retries were sent, in order, with the entries that sent them. */
  readonly spent: { readonly at: ports.Milliseconds; readonly entry: number }[] = [];
  /** Requests that entries have sent. */
  readonly requests: leaseMessages.LeaseRequest[] = [];
  /** Names of the holders that may lend. */
  readonly lending = new Set<string>();
  /** Holder that an entry asks; undefined if it knows none. */
  holderOf: (entry: number) => string | undefined = () => 'h1';
  /** Transit time of a message; undefined if it is lost. */
  transit: () => ports.Milliseconds | undefined = () => 1;
  private readonly holders = new Map<string, Holder>();
  private readonly entries = new Map<number, Entry>();

  constructor(private readonly settings: LeaseTestSettings) {
    this.random = seededRandom.create(settings.seed ?? 3);
    for (let entry = 0; entry < settings.entries; entry += 1) {
      this.startEntry(entry);
    }
  }

  private createProcess(): Process {
    const process: Process = {
      clockOffset: 0,
      timers: timerService.create(
        {
          now: () => this.time.clock.now() + process.clockOffset,
          wall: () => this.time.clock.wall(),
        },
        this.time,
      ),
    };
    return process;
  }

  /** Starts a holder without state; replaces one of the same name. */
  startHolder(name: string): void {
    this.stopHolder(name);
    const process = this.createProcess();
    const ledger = new leaseLedger.LeaseLedger({
      ...{ timers: process.timers, random: this.random, log, metrics },
      mayLend: () => this.lending.has(name),
      entryCount: () => this.settings.entries,
    });
    this.holders.set(name, Object.assign(process, { ledger }));
  }

  stopHolder(name: string): void {
    this.holders.get(name)?.timers.stop();
    this.holders.delete(name);
  }

  /** Starts an entry without state; replaces the one of the same number. */
  startEntry(entry: number): void {
    this.entries.get(entry)?.timers.stop();
    const process = this.createProcess();
    const { timers } = process;
    const { slack, entries, ratio = 0, usesLeases = () => true } = this.settings;
    const share = new windowedShare.WindowedShare(() => entries, WINDOW);
    timers.every(
      () => 500,
      () => {
        share.at(timers.now());
      },
    );
    share.at(timers.now());
    const leases = usesLeases(entry)
      ? new leaseClient.LeaseClient({
          ...{ entry: `e${entry}`, timers, random: this.random, log, metrics },
          send: (request, timeout, done) => {
            this.send(entry, request, timeout, done);
          },
        })
      : undefined;
    const budget = new serviceRetryBudget.ServiceRetryBudget(
      { ratio, slack, window: WINDOW },
      (now) => share.at(now),
      this.random,
      leases,
    );
    this.entries.set(entry, Object.assign(process, { budget }));
  }

  private send(
    entry: number,
    request: leaseMessages.LeaseRequest,
    timeout: ports.Milliseconds,
    done: (answer: leaseMessages.LeaseAnswer | undefined) => void,
  ): void {
    this.requests.push(request);
    const sender = this.entries.get(entry);
    const name = this.holderOf(entry);
    let isOpen = true;
    const finish = (answer: leaseMessages.LeaseAnswer | undefined): void => {
      if (isOpen && this.entries.get(entry) === sender) {
        isOpen = false;
        done(answer);
      }
    };
    this.time.after(timeout, () => {
      finish(undefined);
    });
    const there = this.transit();
    if (there === undefined || name === undefined) {
      return;
    }
    this.time.after(there, () => {
      const answer = this.holders.get(name)?.ledger.lend(request);
      const back = this.transit();
      if (answer !== undefined && back !== undefined) {
        this.time.after(back, () => {
          finish(answer);
        });
      }
    });
  }

  /** Sets the clock of an entry or of a holder. */
  stepClock(process: number | string, step: ports.Milliseconds): void {
    const found = typeof process === 'string' ? this.holders.get(process) : this.entries.get(process);
    if (found !== undefined) {
      found.clockOffset += step;
    }
  }

  /** A request of a caller at an entry; it is retried if the budget allows. */
  tryRetry(entry: number): boolean {
    const found = this.entries.get(entry);
    if (found === undefined) {
      return false;
    }
    const now = found.timers.now();
    found.budget.recordRequest(SERVICE, now);
    const isTaken = found.budget.take(SERVICE, now);
    if (isTaken) {
      this.spent.push({ at: this.time.clock.now(), entry });
    }
    return isTaken;
  }

  /** A request at an entry that needs no retry. */
  recordRequest(entry: number): void {
    const found = this.entries.get(entry);
    found?.budget.recordRequest(SERVICE, found.timers.now());
  }

  /** Wants retries at random entries for a time; `isBusy` entries get half of them. */
  demand(perSecond: number, length: ports.Milliseconds, isBusy: (entry: number) => boolean): void {
    const all = Array.from({ length: this.settings.entries }, (_, index) => index);
    const busy = all.filter(isBusy);
    const others = all.filter((entry) => !isBusy(entry));
    for (let at = 0; at < length; at += 1_000 / perSecond) {
      this.time.after(at, () => {
        const group = this.random.next() < 0.5 ? busy : others;
        this.tryRetry(group[Math.floor(this.random.next() * group.length)] ?? 0);
      });
    }
    this.time.advance(length);
  }

  /** Largest amount spent in any window. */
  largestWindow(): number {
    let largest = 0;
    let first = 0;
    for (const [index, { at }] of this.spent.entries()) {
      while (at - (this.spent[first]?.at ?? at) >= WINDOW) {
        first += 1;
      }
      largest = Math.max(largest, index - first + 1);
    }
    return largest;
  }

  /** Amount spent per window since a time, on average. */
  averageSince(from: ports.Milliseconds): number {
    const duration = this.time.clock.now() - from;
    return (this.spent.filter(({ at }) => at >= from).length * WINDOW) / duration;
  }
}
