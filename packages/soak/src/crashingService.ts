/**
 * A service whose instances crash on one particular request, and on all requests with one part in their prompts, and callers
 * that keep sending them; checks that entries quarantine the request and the part.
 */
import type * as kumquatfront from 'kumquatfront';
import * as platform from 'kumquatfront-platform';

import * as clients from './clients.js';
import type * as invariantChecker from './invariantChecker.js';
import * as sleep from './sleep.js';
import * as stubInstance from './stubInstance.js';

/** Path of the request that crashes its instance. */
const CRASHING_REQUEST_PATH = '/fragile/killer';

/** Paths of requests with the part that crashes their instances, and of sound ones; no two are alike. */
const CRASHING_PART_PATH = '/fragile/part-';
const SOUND_PATH = '/fragile/sound-';

/** Values of the header that names the parts of a prompt. */
const CRASHING_PARTS = 'shared:40,crashing:20,own:5';
const SOUND_PARTS = 'shared:40,own:5';

/** Requests with the part that entries may still forward after the propagation time. */
const ACCEPTED_LATE_ARRIVALS = 3;

/** Rounds of requests in which the part must be found, and after that be kept away. */
const PART_ROUNDS = 30;
const CHECKED_ROUNDS = 8;

const INSTANCE_COUNT = 4;

/** Time from the start of the request to the crash, and from the crash to the restart under another identity. */
const CRASH_DELAY_MS = 15;
const RESTART_DELAY_MS = 2_000;

const REQUEST_INTERVAL_MS = 400;

/** Crashes after which no entry may forward the request, and the time for all entries to receive the crash records. */
const CRASHES_BEFORE_QUARANTINE = 3;
const PROPAGATION_LIMIT_MS = 3_000;

/** Dependencies of the crashing service and its caller. */
export interface CrashingServiceOptions {
  readonly entries: readonly string[];
  readonly callerPort: number;
  readonly instancePort: number;
  readonly controlAddresses: () => readonly string[];
  readonly checker: invariantChecker.InvariantChecker;
  /** A separate generator, so that the caller does not change the random sequence of the rest of the run. */
  readonly random: kumquatfront.ports.Random;
}

/** The crashing service and its caller. */
export class CrashingService {
  /** Number of crashing requests that reached an instance. */
  arrivals = 0;
  crashes = 0;
  private partArrivals = 0;
  private partCrashes = 0;
  private readonly options: CrashingServiceOptions;
  private readonly instances = new Map<number, stubInstance.StubInstance>();
  private stopped = false;

  constructor(options: CrashingServiceOptions) {
    this.options = options;
    for (let index = 1; index <= INSTANCE_COUNT; index += 1) {
      this.startInstance(index, 1);
    }
    void this.sendUntilStopped();
  }

  private startInstance(index: number, incarnation: number): void {
    if (this.stopped) {
      return;
    }
    const { instancePort, controlAddresses, checker } = this.options;
    const address = `127.0.25.${30 + index}:${instancePort}`;
    const identity = `fragile-${index}-${incarnation}`;
    const dataCentre = 'b';
    const options = {
      ...{ identity, service: 'fragile' as const, dataCentre, listenAddress: address },
      ...{ advertisedAddress: address, controlAddresses, checker },
    };
    const onRequestStart = (path: string): void => {
      const hasPart = path.startsWith(CRASHING_PART_PATH);
      this.partArrivals += hasPart ? 1 : 0;
      this.arrivals += path === CRASHING_REQUEST_PATH ? 1 : 0;
      if (hasPart || path === CRASHING_REQUEST_PATH) {
        setTimeout(() => {
          this.crash(index, incarnation, hasPart);
        }, CRASH_DELAY_MS);
      }
    };
    this.instances.set(index, new stubInstance.StubInstance({ ...options, onRequestStart }));
  }

  private crash(index: number, incarnation: number, hasPart: boolean): void {
    const instance = this.instances.get(index);
    if (instance?.identity !== `fragile-${index}-${incarnation}`) {
      return;
    }
    this.crashes += 1;
    this.partCrashes += hasPart ? 1 : 0;
    this.instances.delete(index);
    instance.close();
    setTimeout(() => {
      this.startInstance(index, incarnation + 1);
    }, RESTART_DELAY_MS);
  }

  private async send(
    host: string,
    path = CRASHING_REQUEST_PATH,
    parts?: string,
  ): Promise<clients.CallResult> {
    const { callerPort, random } = this.options;
    const headers = {
      Host: 'soak.example',
      [platform.httpNames.headers.attempt]: random.identity(),
      [platform.httpNames.headers.timeLeft]: '1500',
      Authorization: 'Token key',
      ...(parts !== undefined && { [platform.httpNames.headers.promptParts]: parts }),
    };
    return clients.call({ host, port: callerPort, path, headers }, '');
  }

  private async sendUntilStopped(): Promise<void> {
    const { entries, random } = this.options;
    while (!this.stopped) {
      await this.send(entries[Math.floor(random.next() * entries.length)] ?? '');
      await sleep.forMilliseconds(REQUEST_INTERVAL_MS);
    }
  }

  /** Checks that after three crashes and the propagation time no entry forwards the request. */
  async checkQuarantine(): Promise<void> {
    const { entries, checker } = this.options;
    const endsAt = Date.now() + 20_000;
    while (this.crashes < CRASHES_BEFORE_QUARANTINE && Date.now() < endsAt) {
      await sleep.forMilliseconds(REQUEST_INTERVAL_MS);
    }
    await sleep.forMilliseconds(PROPAGATION_LIMIT_MS);
    const before = this.arrivals;
    const answers = await Promise.all(entries.map((host) => this.send(host)));
    await sleep.forMilliseconds(REQUEST_INTERVAL_MS);
    if (this.crashes < CRASHES_BEFORE_QUARANTINE) {
      checker.violations.push(`only ${this.crashes} instances crashed on the crashing request`);
    }
    if (this.arrivals > before) {
      checker.violations.push(
        `the crashing request was forwarded ${this.arrivals - before} times after ${this.crashes} crashes`,
      );
    }
    const statuses = answers.map(({ status }) => status);
    if (statuses.some((status) => status !== 503)) {
      checker.violations.push(
        `the crashing request was answered ${statuses.join(' ')}, expected 503 from every entry`,
      );
    }
  }

  /** Sends, to a random entry, a request with the crashing part and some sound ones; returns the share of those served. */
  private async sendRound(): Promise<number> {
    const { entries, random } = this.options;
    const pick = (): string => entries[Math.floor(random.next() * entries.length)] ?? '';
    const crashing = this.send(pick(), CRASHING_PART_PATH + random.identity(), CRASHING_PARTS);
    const sound = Array.from({ length: 4 }, () =>
      this.send(pick(), SOUND_PATH + random.identity(), SOUND_PARTS),
    );
    const answers = await Promise.all(sound);
    await crashing;
    await sleep.forMilliseconds(REQUEST_INTERVAL_MS);
    return answers.filter(({ status }) => status === 200).length / answers.length;
  }

  /** Checks that a part is kept away after three crashes, and that sound requests beside it are served. */
  async checkPartQuarantine(): Promise<void> {
    const { checker } = this.options;
    for (let round = 0; round < PART_ROUNDS && this.partCrashes < CRASHES_BEFORE_QUARANTINE; round += 1) {
      await this.sendRound();
    }
    await sleep.forMilliseconds(PROPAGATION_LIMIT_MS);
    const before = this.partArrivals;
    const served: number[] = [];
    for (let round = 0; round < CHECKED_ROUNDS; round += 1) {
      served.push(await this.sendRound());
    }
    const late = this.partArrivals - before;
    const share = served.reduce((sum, part) => sum + part, 0) / served.length;
    const detail = `${this.partCrashes} crashes by a part, ${late} later arrivals, ${share.toFixed(2)} of the sound ones served`;
    if (this.partCrashes < CRASHES_BEFORE_QUARANTINE || late > ACCEPTED_LATE_ARRIVALS || share < 0.9) {
      checker.violations.push(detail);
    }
  }

  stop(): void {
    this.stopped = true;
    for (const instance of this.instances.values()) {
      instance.close();
    }
  }
}
