/**
 * Test harness that runs a complete system on virtual time: control replicas, entries, and upstreams that crash.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as ports from '../kernel/ports.js';
import type * as virtualTime from '../kernel/virtualTime.js';
import type * as relayTypes from '../relay/types.js';
import * as controlTestHarness from '../trafficControl/controlTestHarness.js';
import type * as trafficEntry from '../trafficEntry/trafficEntry.js';
import * as crashTestTraffic from './crashTestTraffic.js';
import * as crashTestUpstreams from './crashTestUpstreams.js';

export type Effect = crashTestUpstreams.Effect;
export type ServiceName = crashTestUpstreams.ServiceName;
export type Arrival = crashTestUpstreams.Arrival;
export type Answer = crashTestUpstreams.Answer;
export type CutForm = crashTestUpstreams.CutForm;

/** An attempt of a caller and its outcome. */
export interface Attempt {
  readonly content: string;
  readonly route: RouteName;
  readonly entry: string;
  readonly startedAt: ports.Milliseconds;
  /** `served`, `broken`, or the reason for a refusal; undefined while it runs. */
  outcome: string | undefined;
  refusal: relayTypes.Refusal | undefined;
}

/** Routes of the harness, by their service; `orders` are calls to `app` that are not idempotent. */
export type RouteName = ServiceName | 'orders';

const PATHS: Readonly<Record<RouteName, string>> = { llm: '/notes/', app: '/stock/', orders: '/orders/' };

/** Names of the control replicas. */
export const REPLICAS: readonly string[] = ['c1', 'c2', 'c3'];

/** Simulated system with crashing upstreams; see the module comment. */
export class CrashTestHarness {
  readonly control: controlTestHarness.ControlTestHarness;
  readonly time: virtualTime.VirtualTime;
  readonly upstreams: crashTestUpstreams.CrashTestUpstreams;
  readonly attempts: Attempt[] = [];
  private readonly entries = new Map<string, trafficEntry.TrafficEntry>();
  private requestCount = 0;

  /**
   * @param entryCount - number of entries, named `e1`, `e2` and so on
   * @param upstreamCounts - number of instances of each service
   * @param effectOf - returns the effect of a content on its upstream
   * @param seed - seed of the random numbers
   * @param dataCentres - data centres to which the instances of each service, and the entries, are assigned in turn
   */
  constructor(
    entryCount: number,
    upstreamCounts: Readonly<Record<ServiceName, number>>,
    effectOf: (content: string) => Effect,
    seed = 3,
    private readonly dataCentres: readonly string[] = ['a'],
  ) {
    this.control = new controlTestHarness.ControlTestHarness(REPLICAS, 1, crashTestTraffic, seed);
    this.time = this.control.time;
    this.upstreams = new crashTestUpstreams.CrashTestUpstreams(this.time, effectOf, (announcement) => {
      const replica = this.control.anyRunningReplica();
      if (replica !== undefined) {
        this.control.trafficOf(replica).announce(announcement);
      }
    });
    this.time.advance(6_000);
    this.control.replace('c1', 1);
    for (const service of ['llm', 'app'] as const) {
      for (let index = 1; index <= upstreamCounts[service]; index += 1) {
        this.upstreams.add(service, `${service}-${index}`, this.dataCentres[index % this.dataCentres.length]);
      }
    }
    for (let index = 1; index <= entryCount; index += 1) {
      this.startEntry(`e${index}`);
    }
    this.time.advance(3_000);
  }

  /** Starts an entry without any state; replaces an entry of the same name. */
  startEntry(name: string): void {
    const dataCentre = this.dataCentreOf(name);
    this.entries.set(name, this.control.startEntry(name, this.upstreams.portOf(name), { dataCentre }));
  }

  /** Data centre of an entry. */
  dataCentreOf(entry: string): string {
    return this.dataCentres[Number(entry.slice(1)) % this.dataCentres.length] ?? 'a';
  }

  /** Kills an entry; its state is lost. */
  killEntry(name: string): void {
    this.control.kill(name);
    this.entries.delete(name);
  }

  get entryNames(): readonly string[] {
    return [...this.entries.keys()];
  }

  /**
   * Sends a request to an entry as a caller would; each attempt has its own identity.
   *
   * @param done - called with the outcome
   */
  sendRequest(
    entry: string,
    route: RouteName,
    content: string,
    done: (attempt: Attempt) => void = () => undefined,
    account = 'school-1',
    sharedParts: readonly string[] = [],
  ): Attempt {
    this.requestCount += 1;
    const attempt: Attempt = {
      content,
      route,
      entry,
      startedAt: this.time.now(),
      outcome: undefined,
      refusal: undefined,
    };
    this.attempts.push(attempt);
    const settle = (outcome: string, refusal?: relayTypes.Refusal): void => {
      attempt.outcome = outcome;
      attempt.refusal = refusal;
      done(attempt);
    };
    this.entries.get(entry)?.handle(this.request(route, content, account, sharedParts), {
      refuse: (refusal) => {
        settle(refusal.reason, refusal);
      },
      respond: () => {
        settle('served');
      },
      begin: () => undefined,
      ...{ write: () => true, onDrain: () => undefined, takenBytes: () => 0 },
      end: () => {
        settle('served');
      },
      abort: () => {
        settle('broken');
      },
      onDisconnect: () => undefined,
    });
    return attempt;
  }

  /** Sends requests to random entries at a constant rate. */
  generateLoad(service: ServiceName, perSecond: number, length: ports.Milliseconds): void {
    const random = seededRandom.create(11);
    const { entryNames } = this;
    for (let at = 0; at < length; at += 1_000 / perSecond) {
      this.time.after(at, () => {
        const entry = entryNames[Math.floor(random.next() * entryNames.length)] ?? '';
        this.sendRequest(entry, service, `request ${at}`);
      });
    }
    this.time.advance(length);
  }

  private request(
    route: RouteName,
    content: string,
    account: string,
    sharedParts: readonly string[],
  ): relayTypes.TrafficRequest {
    const generation = { promptTokens: 900, outputLimit: 44, lengthHint: 2, prompt: content };
    return {
      identity: `r${this.requestCount}`,
      host: crashTestTraffic.HOST,
      path: PATHS[route] + 'x',
      method: 'POST',
      headers: [],
      body: Buffer.from(content),
      key: account,
      arrivedAt: this.time.now(),
      sharedParts,
      ...(route === 'llm' && { generation }),
    };
  }
}
