/**
 * Cuts entries off from all upstreams while the other processes reach both: at random during the fault phase, and in each
 * form in a check after it, in which cut-off entries must serve first tries as the others do.
 */
import type * as kumquatfront from 'kumquatfront';
import * as platform from 'kumquatfront-platform';

import * as clients from './clients.js';
import type * as invariantChecker from './invariantChecker.js';
import type * as linkCut from './linkCut.js';
import * as sleep from './sleep.js';
import type * as supervisedProcess from './supervisedProcess.js';

const FORMS: readonly linkCut.CutForm[] = ['silent', 'reset', 'newRefused'];

/** Time from the start of a cut to the first try that counts. */
const DETECTION_MS = 1_500;
const MEASURED_MS = 1_500;

/** Time from the end of a cut to the next. */
const HEAL_MS = 1_200;

const INTERVAL_MS = 50;

/** Tries at cut-off entries that may fail, as a share and in addition. */
const FAILURE_SHARE = 0.02;
const FAILURE_SLACK = 2;

/** Dependencies of the cuts. */
export interface UpstreamCutsOptions {
  readonly entries: readonly supervisedProcess.SupervisedProcess[];
  readonly callerPort: number;
  readonly random: kumquatfront.ports.Random;
  readonly checker: invariantChecker.InvariantChecker;
}

/** Cuts of entries from upstreams; see the module comment. */
export class UpstreamCuts {
  private readonly options: UpstreamCutsOptions;
  private stopped = false;

  constructor(options: UpstreamCutsOptions) {
    this.options = options;
  }

  /** Cuts random entries off for random times until `stop` is called; often all but one, sometimes all. */
  async run(): Promise<void> {
    const { entries, random } = this.options;
    while (!this.stopped) {
      await sleep.forMilliseconds(500 + random.next() * 1_500);
      const form = FORMS[Math.floor(random.next() * FORMS.length)] ?? 'reset';
      const share = random.next();
      const cutOff = entries.filter(() => random.next() < share);
      this.set(cutOff, form);
      await sleep.forMilliseconds(500 + random.next() * 2_500);
      this.set(cutOff, '');
    }
  }

  stop(): void {
    this.stopped = true;
  }

  private set(entries: readonly supervisedProcess.SupervisedProcess[], form: linkCut.CutForm | ''): void {
    for (const entry of entries) {
      entry.setUpstreamCut(form);
    }
  }

  /** Checks that all entries but one, cut off in each form, serve their callers through the last one. */
  async check(): Promise<void> {
    const { entries, checker } = this.options;
    const cutOff = entries.slice(1);
    for (const form of FORMS) {
      this.set(cutOff, form);
      await sleep.forMilliseconds(DETECTION_MS);
      const results = await Promise.all(cutOff.map((entry) => this.servedShare(entry.host)));
      this.set(cutOff, '');
      const tries = results.reduce((sum, result) => sum + result.tries, 0);
      const served = results.reduce((sum, result) => sum + result.served, 0);
      if (tries - served > FAILURE_SLACK + FAILURE_SHARE * tries) {
        checker.violations.push(`entries cut off (${form}) served ${served} of ${tries} first tries`);
      }
      await sleep.forMilliseconds(HEAL_MS);
    }
  }

  /** Sends an entry calls that are not idempotent at a constant rate, and counts those that are served. */
  private async servedShare(host: string): Promise<{ readonly tries: number; readonly served: number }> {
    const pending: Promise<boolean>[] = [];
    for (let elapsed = 0; elapsed < MEASURED_MS; elapsed += INTERVAL_MS) {
      pending.push(this.isServed(host));
      await sleep.forMilliseconds(INTERVAL_MS);
    }
    const results = await Promise.all(pending);
    return { tries: results.length, served: results.filter((isServed) => isServed).length };
  }

  private async isServed(host: string): Promise<boolean> {
    const { callerPort, random, checker } = this.options;
    const identity = random.identity();
    const { headers } = platform.httpNames;
    const result = await clients.call(
      {
        host,
        port: callerPort,
        method: 'POST',
        path: `/payment/${identity}`,
        headers: {
          Host: 'soak.example',
          [headers.attempt]: identity,
          [headers.timeLeft]: '2000',
          Authorization: 'Token key',
        },
      },
      'x'.repeat(100),
    );
    checker.recordOutcome({ identity, kind: 'payment', ...result });
    return result.status === 200 && result.complete;
  }
}
