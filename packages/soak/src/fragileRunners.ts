/**
 * Runners of a service that ends under one request, again and again, and the caller who brings that request.
 */
import type * as kumquatfront from 'kumquatfront';
import * as platform from 'kumquatfront-platform';

import * as clients from './clients.js';
import type * as ledger from './ledger.js';
import * as pause from './pause.js';
import * as runners from './runners.js';

/** Path of the request that ends its runner. */
const KILLER_PATH = '/fragile/killer';

const RUNNERS = 4;

/** Time from the begin of the run to the end of its runner, and on to its next start under another identity. */
const ENDS_AFTER_MS = 15;
const BACK_AFTER_MS = 2_000;

const ASKS_EVERY_MS = 400;

/** Ends after which nobody may send it on, and the time that all have to know. */
const KNOWN_AFTER = 3;
const KNOWN_WITHIN_MS = 3_000;

/** What the runners and their caller are made from. */
export interface FragileOptions {
  readonly entries: readonly string[];
  readonly callerPort: number;
  readonly runnerPort: number;
  readonly control: () => readonly string[];
  readonly book: ledger.Ledger;
  /** Of its own, so that it changes nothing of what the seed draws for the rest of the run. */
  readonly random: kumquatfront.ports.Random;
}

/** The service with its caller; see the module comment. */
export class FragileService {
  /** Times that the killer reached a runner. */
  arrivals = 0;
  ends = 0;
  private readonly options: FragileOptions;
  private readonly running = new Map<number, runners.Runner>();
  private stopped = false;

  constructor(options: FragileOptions) {
    this.options = options;
    for (let index = 1; index <= RUNNERS; index += 1) {
      this.startRunner(index, 1);
    }
    void this.askOn();
  }

  private startRunner(index: number, start: number): void {
    if (this.stopped) {
      return;
    }
    const { runnerPort, control, book } = this.options;
    const address = `127.0.25.${30 + index}:${runnerPort}`;
    const identity = `fragile-${index}-${start}`;
    const dataCentre = 'b';
    const base = {
      ...{ identity, service: 'fragile' as const, dataCentre, address },
      ...{ announced: address, control, book },
    };
    const onBegin = (path: string): void => {
      if (path === KILLER_PATH) {
        this.arrivals += 1;
        setTimeout(() => {
          this.end(index, start);
        }, ENDS_AFTER_MS);
      }
    };
    this.running.set(index, new runners.Runner({ ...base, onBegin }));
  }

  private end(index: number, start: number): void {
    const runner = this.running.get(index);
    if (runner?.identity !== `fragile-${index}-${start}`) {
      return;
    }
    this.ends += 1;
    this.running.delete(index);
    runner.close();
    setTimeout(() => {
      this.startRunner(index, start + 1);
    }, BACK_AFTER_MS);
  }

  private async ask(host: string): Promise<clients.CallResult> {
    const { callerPort, random } = this.options;
    const headers = {
      Host: 'soak.example',
      [platform.names.headers.attempt]: random.identity(),
      [platform.names.headers.timeLeft]: '1500',
      Authorization: 'Token key',
    };
    return clients.call({ host, port: callerPort, path: KILLER_PATH, headers }, '');
  }

  private async askOn(): Promise<void> {
    const { entries, random } = this.options;
    while (!this.stopped) {
      await this.ask(entries[Math.floor(random.next() * entries.length)] ?? '');
      await pause.of(ASKS_EVERY_MS);
    }
  }

  /** Once all is quiet: after three ends, and the time to know of them, no entry sends the killer on. */
  async settle(): Promise<void> {
    const { entries, book } = this.options;
    const endsAt = Date.now() + 20_000;
    while (this.ends < KNOWN_AFTER && Date.now() < endsAt) {
      await pause.of(ASKS_EVERY_MS);
    }
    await pause.of(KNOWN_WITHIN_MS);
    const before = this.arrivals;
    const answers = await Promise.all(entries.map((host) => this.ask(host)));
    await pause.of(ASKS_EVERY_MS);
    if (this.ends < KNOWN_AFTER) {
      book.faults.push(`only ${this.ends} runners ended under the killer`);
    }
    if (this.arrivals > before) {
      book.faults.push(`the killer was sent on ${this.arrivals - before} times after ${this.ends} ends`);
    }
    const statuses = answers.map(({ status }) => status);
    if (statuses.some((status) => status !== 503)) {
      book.faults.push(`the killer was answered ${statuses.join(' ')}, wanted 503 of every entry`);
    }
  }

  stop(): void {
    this.stopped = true;
    for (const runner of this.running.values()) {
      runner.close();
    }
  }
}
