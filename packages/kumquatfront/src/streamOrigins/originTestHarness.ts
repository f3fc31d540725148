/**
 * Test harness of streams on upstreams of several software versions: control replicas, entries, engines, and callers that
 * take up broken streams at other entries, all on virtual time.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as ports from '../kernel/ports.js';
import type * as virtualTime from '../kernel/virtualTime.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
import type * as relayTypes from '../relay/types.js';
import type * as trafficTypes from '../traffic/types.js';
import * as controlTestHarness from '../trafficControl/controlTestHarness.js';
import type * as trafficEntry from '../trafficEntry/trafficEntry.js';
import * as originTestEngines from './originTestEngines.js';

/** Control replicas of the harness. */
export const REPLICAS: readonly string[] = ['c1', 'c2', 'c3'];

const TIMEOUT: ports.Milliseconds = 10_000;

/** Delay before a caller takes up a broken stream. */
const RETURN_DELAY: ports.Milliseconds = 150;

const ROUTE_BASE = {
  host: 'market.example',
  kind: 'stream',
  timeout: TIMEOUT,
  objective: 1_500,
  priority: 1,
  maximumAttempts: 2,
  anonymous: false,
  longestPause: 180,
  targets: [{ service: 'llm', weight: 1 }],
} as const;

const ROUTES: readonly trafficTypes.Route[] = [
  { ...ROUTE_BASE, name: 'notes', pathPrefix: '/notes/', resumable: true },
  { ...ROUTE_BASE, name: 'plans', pathPrefix: '/plans/', resumable: false },
];

const SERVICES: readonly trafficTypes.Service[] = [
  { name: 'llm', maximumConnections: 200, engine: relayTestHarness.engineTraits },
];

const ACCOUNTS: readonly trafficTypes.Account[] = ['school-1', 'school-2'].map((name) => ({
  name,
  keys: [name],
}));

/** Options of one stream. */
export interface StreamOptions {
  /** Route: `notes` may run again after a break, `plans` may not. */
  readonly route?: 'notes' | 'plans';
  /** Number of events after which the caller leaves its entry once, and takes the stream up elsewhere. */
  readonly leavesAfter?: number;
  readonly account?: string;
}

/** A stream as its caller sees it, over all its attempts. */
export interface TestStream {
  readonly entry: string;
  readonly startedAt: ports.Milliseconds;
  /** Versions stamped on its events. */
  readonly versions: Set<string>;
  /** Identity of the attempt that brought the first event; undefined before. */
  firstAttempt: string | undefined;
  lastEvent: number;
  /** Attempts that take it up, in order. */
  readonly takeUps: TakeUp[];
  complete: boolean;
  refusals: relayTypes.Refusal[];
}

/** One attempt to take up a stream. */
export interface TakeUp {
  readonly entry: string;
  readonly at: ports.Milliseconds;
  /** True if two engines of its version served when it was sent. */
  readonly couldGoOn: boolean;
  wentOn: boolean;
}

/** Simulated system; see the module comment. */
export class OriginTestHarness {
  readonly control: controlTestHarness.ControlTestHarness;
  readonly time: virtualTime.VirtualTime;
  readonly engines: originTestEngines.OriginTestEngines;
  readonly streams: TestStream[] = [];
  readonly random: ports.Random;
  private readonly entries = new Map<string, trafficEntry.TrafficEntry>();
  /** Callers with an open response, by entry. */
  private readonly open = new Map<string, Set<() => void>>();
  private attemptCount = 0;

  /**
   * @param entryCount - number of entries, named `e1`, `e2` and so on
   * @param versions - software version of each engine
   */
  constructor(entryCount: number, versions: readonly (string | undefined)[], seed = 3) {
    this.control = new controlTestHarness.ControlTestHarness(
      REPLICAS,
      1,
      { routes: ROUTES, services: SERVICES, accounts: ACCOUNTS },
      seed,
    );
    this.random = seededRandom.create(seed + 100);
    this.time = this.control.time;
    this.time.advance(6_000);
    this.control.replace('c1', 1);
    this.engines = new originTestEngines.OriginTestEngines(this.time, (announcement) => {
      const replica = this.control.anyRunningReplica();
      if (replica !== undefined) {
        this.control.trafficOf(replica).announce(announcement);
      }
      return replica !== undefined;
    });
    for (const version of versions) {
      this.engines.start(version);
    }
    for (let index = 1; index <= entryCount; index += 1) {
      this.startEntry(`e${index}`);
    }
    this.time.advance(4_000);
  }

  /** Starts an entry without any state; replaces an entry of the same name. */
  startEntry(name: string): void {
    this.entries.set(name, this.control.startEntry(name, this.engines.portOf(name)));
  }

  /** Kills an entry: its state is lost, and the streams of its callers break. */
  killEntry(name: string): void {
    this.control.kill(name);
    this.entries.delete(name);
    this.engines.dropRunsOf(name);
    const open = [...(this.open.get(name) ?? [])];
    this.open.delete(name);
    for (const breakOff of open) {
      breakOff();
    }
  }

  /** Stops an entry as a planned restart does: it drains first and is killed after a while. */
  stopEntry(name: string, grace: ports.Milliseconds): void {
    this.entries.get(name)?.drain(grace);
    this.time.after(grace, () => {
      this.killEntry(name);
    });
  }

  get entryNames(): readonly string[] {
    return [...this.entries.keys()];
  }

  /** Cuts an entry off from other processes; its callers and the engines still reach it. */
  isolate(entry: string, from: readonly string[]): void {
    for (const other of from) {
      this.control.partition(entry, other);
    }
  }

  /** Starts a stream at an entry. */
  startStream(entry: string, options: StreamOptions = {}): TestStream {
    const stream: TestStream = {
      ...{ entry, startedAt: this.time.now(), versions: new Set<string>(), firstAttempt: undefined },
      ...{ lastEvent: 0, takeUps: [], complete: false, refusals: [] },
    };
    this.streams.push(stream);
    this.send(stream, entry, options, undefined);
    return stream;
  }

  /** Takes a stream up at an entry, in the name of the attempt that brought its first event. */
  takeUp(
    stream: TestStream,
    entry: string,
    options: StreamOptions = {},
    resumes: string | undefined = stream.firstAttempt,
  ): TakeUp {
    const [version] = stream.versions;
    const takeUp = {
      ...{ entry, at: this.time.now(), wentOn: false },
      couldGoOn: version !== undefined && this.engines.serving(version).length >= 2,
    };
    stream.takeUps.push(takeUp);
    this.send(stream, entry, { ...options, leavesAfter: undefined }, takeUp, resumes);
    return takeUp;
  }

  /** An entry other than the given one. */
  otherEntry(entry: string): string {
    const others = this.entryNames.filter((name) => name !== entry);
    return others[Math.floor(this.random.next() * others.length)] ?? entry;
  }

  private send(
    stream: TestStream,
    entry: string,
    options: StreamOptions,
    takeUp: TakeUp | undefined,
    resumes?: string,
  ): void {
    const { route = 'notes', leavesAfter, account = 'school-1' } = options;
    this.attemptCount += 1;
    const attempt = `a${this.attemptCount}`;
    let isOpen = true;
    let received = 0;
    let notifyGone: () => void = () => undefined;
    const breakOff = (retryAfter = RETURN_DELAY): void => {
      if (!isOpen) {
        return;
      }
      isOpen = false;
      this.open.get(entry)?.delete(breakOff);
      this.time.after(retryAfter, () => {
        this.comeBack(stream, entry, options);
      });
    };
    const receive = (bytes: Uint8Array): void => {
      if (!isOpen) {
        return;
      }
      const text = Buffer.from(bytes).toString();
      received += 1;
      stream.firstAttempt ??= attempt;
      stream.versions.add(originTestEngines.stampOf(text));
      stream.lastEvent = Number(/id: (\d+)/.exec(text)?.[1]);
      if (takeUp !== undefined) {
        takeUp.wentOn = true;
      }
      if (received === leavesAfter) {
        notifyGone();
        breakOff();
      }
    };
    this.open.set(entry, (this.open.get(entry) ?? new Set()).add(breakOff));
    const handler = this.entries.get(entry);
    if (handler === undefined) {
      breakOff();
      return;
    }
    handler.handle(this.request(attempt, route, account, stream, resumes), {
      refuse: (refusal) => {
        stream.refusals.push(refusal);
        if (refusal.retryAfter === undefined) {
          isOpen = false;
          this.open.get(entry)?.delete(breakOff);
        } else {
          breakOff(refusal.retryAfter);
        }
      },
      respond: () => undefined,
      begin: () => undefined,
      write: (bytes) => {
        receive(bytes);
        return true;
      },
      ...{ onDrain: () => undefined, takenBytes: () => 0 },
      end: () => {
        isOpen = false;
        stream.complete = true;
        this.open.get(entry)?.delete(breakOff);
      },
      abort: () => {
        breakOff();
      },
      onDisconnect: (callback) => {
        notifyGone = callback;
      },
    });
  }

  /** Sends the stream again, or takes it up if it has events; a caller has three tries in all. */
  private comeBack(stream: TestStream, entry: string, options: StreamOptions): void {
    if (
      stream.takeUps.length >= 2 ||
      stream.refusals.length > 3 ||
      this.time.now() - stream.startedAt > TIMEOUT
    ) {
      return;
    }
    const next = this.otherEntry(entry);
    if (stream.firstAttempt === undefined) {
      this.send(stream, next, { ...options, leavesAfter: undefined }, undefined);
    } else if (options.route !== 'plans') {
      this.takeUp(stream, next, options);
    }
  }

  private request(
    identity: string,
    route: 'notes' | 'plans',
    account: string,
    stream: TestStream,
    resumes: string | undefined,
  ): relayTypes.TrafficRequest {
    const generation = { promptTokens: 900, outputLimit: 160, lengthHint: 160, prompt: identity };
    return {
      ...{ identity, host: ROUTE_BASE.host, path: `/${route}/x`, method: 'POST', headers: [] },
      body: Buffer.from(`stream ${this.streams.indexOf(stream)}`),
      key: account,
      arrivedAt: this.time.now(),
      generation,
      ...(resumes !== undefined && { resumes, lastEvent: String(stream.lastEvent) }),
    };
  }
}
