/**
 * A service whose instances run several software versions and are replaced one by one, and callers that take up broken
 * streams at other entries; checks that no stream holds events of two versions, and that streams go on.
 */
import * as http from 'node:http';

import type * as kumquatfront from 'kumquatfront';
import * as platform from 'kumquatfront-platform';

import * as eventReader from './eventReader.js';
import type * as invariantChecker from './invariantChecker.js';
import * as sleep from './sleep.js';
import * as stubInstance from './stubInstance.js';
import type * as supervisedProcess from './supervisedProcess.js';

const INSTANCE_COUNT = 6;
const CALLER_COUNT = 4;

/** Interval at which one instance is replaced, and the number of replacements after which a new version begins. */
const REPLACEMENT_INTERVAL_MS = 1_500;
const REPLACEMENTS_PER_VERSION = 3;

/** Notice of an instance that leaves; the others crash. */
const NOTICE_MS = 900;
const LEAVING_INSTANCES_SHARE = 0.6;

/** Share of streams that their callers leave midway, and the events after which they do at the latest. */
const LEAVING_SHARE = 0.4;
const LATEST_LEAVING = 30;

const MAXIMUM_TAKE_UPS = 2;
const RETURN_DELAY_MS = 120;
const TIMEOUT_MS = 4_000;

/** Least share of taken-up streams that go on, relative to the share of new streams that begin. */
const MINIMUM_SHARE = 0.9;

/** Streams of the check after the faults. */
const CHECKED_STREAMS = 60;

/** Time in which entries and control learn of each other again before the check. */
const SETTLING_MS = 3_500;

/** Dependencies of the service and its callers. */
export interface VersionedStreamsOptions {
  readonly entries: readonly supervisedProcess.SupervisedProcess[];
  readonly callerPort: number;
  readonly instancePort: number;
  readonly controlAddresses: () => readonly string[];
  readonly checker: invariantChecker.InvariantChecker;
  readonly random: kumquatfront.ports.Random;
}

/** One stream of a caller, over all its attempts. */
interface CallerStream {
  readonly versions: Set<string>;
  firstAttempt: string | undefined;
  lastEvent: number;
  complete: boolean;
}

interface Counts {
  sent: number;
  begun: number;
  takenUp: number;
  wentOn: number;
}

/** The service and its callers; see the module comment. */
export class VersionedStreams {
  private readonly options: VersionedStreamsOptions;
  private instances: stubInstance.StubInstance[] = [];
  private startCount = 0;
  private stopped = false;
  private faultsEnded = false;
  private counts: Counts = { sent: 0, begun: 0, takenUp: 0, wentOn: 0 };
  private readonly replacing: Promise<void>;
  private readonly callers: readonly Promise<void>[];

  constructor(options: VersionedStreamsOptions) {
    this.options = options;
    for (let index = 0; index < INSTANCE_COUNT; index += 1) {
      this.startInstance(`v${1 + (index % 2)}`);
    }
    this.replacing = this.replaceUntilStopped();
    this.callers = Array.from({ length: CALLER_COUNT }, () => this.callUntilStopped());
  }

  private startInstance(softwareVersion: string): void {
    const { instancePort, controlAddresses, checker } = this.options;
    this.startCount += 1;
    const address = `127.0.25.${50 + (this.startCount % 100)}:${instancePort}`;
    this.instances.push(
      new stubInstance.StubInstance({
        ...{ identity: `notes-${this.startCount}`, service: 'notes', dataCentre: 'a', softwareVersion },
        ...{ listenAddress: address, advertisedAddress: address, controlAddresses, checker },
      }),
    );
  }

  /** Replaces instances at intervals, until the faults end. */
  private async replaceUntilStopped(): Promise<void> {
    for (let count = 0; !this.faultsEnded; count += 1) {
      await sleep.forMilliseconds(REPLACEMENT_INTERVAL_MS);
      this.replaceOldest(`v${3 + Math.floor(count / REPLACEMENTS_PER_VERSION)}`);
    }
  }

  private replaceOldest(softwareVersion: string): void {
    const [oldest] = this.instances;
    if (!this.faultsEnded && oldest !== undefined) {
      if (this.options.random.next() < LEAVING_INSTANCES_SHARE) {
        oldest.leave(NOTICE_MS);
      } else {
        oldest.close();
      }
      this.instances = this.instances.slice(1);
      this.startInstance(softwareVersion);
    }
  }

  private async callUntilStopped(): Promise<void> {
    while (!this.stopped) {
      await this.readStream();
      await sleep.forMilliseconds(30);
    }
  }

  private pickEntry(except?: string): string {
    const hosts = this.options.entries.map(({ host }) => host).filter((host) => host !== except);
    return hosts[Math.floor(this.options.random.next() * hosts.length)] ?? except ?? '';
  }

  /** Reads one stream to its end, and takes it up at another entry where it breaks. */
  private async readStream(): Promise<void> {
    const { random, checker } = this.options;
    const stream: CallerStream = {
      versions: new Set(),
      firstAttempt: undefined,
      lastEvent: 0,
      complete: false,
    };
    const leavesAfter =
      random.next() < LEAVING_SHARE ? 1 + Math.floor(random.next() * LATEST_LEAVING) : undefined;
    let host = this.pickEntry();
    this.counts.sent += 1;
    await this.attempt(stream, host, leavesAfter);
    this.counts.begun += stream.firstAttempt === undefined ? 0 : 1;
    for (let takeUps = 0; takeUps < MAXIMUM_TAKE_UPS && this.mayTakeUp(stream); takeUps += 1) {
      await sleep.forMilliseconds(RETURN_DELAY_MS);
      host = this.pickEntry(host);
      const { lastEvent } = stream;
      if (!(await this.attempt(stream, host))) {
        continue;
      }
      this.counts.takenUp += 1;
      this.counts.wentOn += stream.lastEvent > lastEvent || stream.complete ? 1 : 0;
    }
    if (stream.versions.size > 1) {
      checker.violations.push(
        `stream ${stream.firstAttempt ?? ''} holds events of ${[...stream.versions].join(' and ')}`,
      );
    }
  }

  private mayTakeUp(stream: CallerStream): boolean {
    return (
      stream.firstAttempt !== undefined && !stream.complete && stream.lastEvent < stubInstance.NOTES_EVENTS
    );
  }

  /**
   * Sends one attempt, and reads events until its end, a break, or the event after which the caller leaves.
   *
   * @returns false if the entry did not answer, as while it starts
   */
  private attempt(stream: CallerStream, host: string, leavesAfter?: number): Promise<boolean> {
    const { headers } = platform.httpNames;
    const identity = this.options.random.identity();
    const isTakeUp = stream.firstAttempt !== undefined;
    return new Promise((resolve) => {
      const request = http.request({
        ...{ host, port: this.options.callerPort, method: 'POST', timeout: TIMEOUT_MS },
        path: `/notes/${identity}`,
        headers: {
          Host: 'soak.example',
          [headers.attempt]: identity,
          [headers.timeLeft]: String(TIMEOUT_MS),
          [headers.tokens]: '300,160',
          Authorization: 'Token key',
          ...(isTakeUp && {
            [headers.lastEvent]: String(stream.lastEvent),
            [headers.resumes]: stream.firstAttempt,
          }),
        },
      });
      let isAnswered = false;
      const finish = (): void => {
        resolve(isAnswered);
      };
      request.on('timeout', () => request.destroy());
      request.on('error', finish);
      request.on('close', finish);
      request.on('response', (response) => {
        isAnswered = true;
        eventReader.read(request, response, {
          onEvent: (event) => {
            this.onEvent(stream, identity, event);
            return isTakeUp || stream.lastEvent !== leavesAfter;
          },
          onEnd: () => {
            this.onEnd(stream, identity, response);
          },
        });
        response.on('error', finish);
      });
      request.end('x'.repeat(100));
    });
  }

  private onEnd(stream: CallerStream, attempt: string, response: http.IncomingMessage): void {
    stream.complete ||= response.statusCode === 200 && response.complete;
    if (stream.complete && stream.lastEvent < stubInstance.NOTES_EVENTS) {
      this.options.checker.violations.push(
        `${attempt} was complete for its caller after event ${stream.lastEvent}`,
      );
    }
  }

  private onEvent(stream: CallerStream, attempt: string, event: string): void {
    const [, index = '', version = ''] = /^id: (\d+)\ndata: (\S+)/.exec(event) ?? [];
    if (Number(index) !== stream.lastEvent + 1) {
      this.options.checker.violations.push(
        `${attempt} received event ${index} after ${stream.lastEvent} of a stream`,
      );
    }
    stream.firstAttempt ??= attempt;
    stream.lastEvent = Number(index);
    stream.versions.add(version);
  }

  /** Ends the replacements. */
  async endFaults(): Promise<void> {
    this.faultsEnded = true;
    await this.replacing;
  }

  /** Ends the callers; then checks that streams go on, also of entries that are killed. */
  async check(): Promise<void> {
    const { checker, entries } = this.options;
    this.stopped = true;
    await Promise.all(this.callers);
    await sleep.forMilliseconds(SETTLING_MS);
    this.counts = { sent: 0, begun: 0, takenUp: 0, wentOn: 0 };
    const pending: Promise<void>[] = [];
    for (let index = 0; index < CHECKED_STREAMS; index += 1) {
      pending.push(this.readStream());
      await sleep.forMilliseconds(20);
      if (index === CHECKED_STREAMS / 2) {
        entries[0]?.signal('SIGKILL');
      }
    }
    await Promise.all(pending);
    const { sent, begun, takenUp, wentOn } = this.counts;
    const detail = `${wentOn} of ${takenUp} streams taken up went on, ${begun} of ${sent} new ones began`;
    if (takenUp < 12 || wentOn / takenUp < MINIMUM_SHARE * (begun / sent)) {
      checker.violations.push(detail);
    }
  }

  stop(): void {
    for (const instance of this.instances) {
      instance.close();
    }
  }
}
