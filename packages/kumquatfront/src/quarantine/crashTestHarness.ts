/**
 * Test harness that runs a complete system on virtual time: control replicas, entries, and upstreams that crash under
 * certain requests and restart seconds later as new instances, or send back-pressure signals in their answers. Entries
 * can be cut off from upstreams.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as virtualTime from '../kernel/virtualTime.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
import type * as relayTypes from '../relay/types.js';
import * as controlTestHarness from '../trafficControl/controlTestHarness.js';
import type * as trafficEntry from '../trafficEntry/trafficEntry.js';
import * as crashTestTraffic from './crashTestTraffic.js';

/** Effect of a request on the upstream that runs it. */
export type Effect = 'served' | 'crashes';

/** Services of the harness: `llm` runs on engines, `app` on plain upstreams. */
export type ServiceName = 'llm' | 'app';

const ROUND_TRIP: ports.Milliseconds = 2;
/** Time from the arrival of a request to the start of its run; engines process the prompt first. */
const START_DELAY: Readonly<Record<ServiceName, ports.Milliseconds>> = { llm: 400, app: 1 };
/** Time from the start of a run to the crash that it causes. */
const CRASH_DELAY: Readonly<Record<ServiceName, ports.Milliseconds>> = { llm: 80, app: 10 };
const RUN_DURATION: Readonly<Record<ServiceName, ports.Milliseconds>> = { llm: 300, app: 25 };
/** Requests that an instance announces to run at the same time. */
const SLOTS: Readonly<Record<ServiceName, number>> = { llm: 24, app: 6 };
const DOWNTIME: ports.Milliseconds = 3_000;
const ANNOUNCEMENT_INTERVAL: ports.Milliseconds = 1_200;

/** Time after which a connection attempt without an answer fails. */
const CONNECT_TIMEOUT: ports.Milliseconds = 400;

/**
 * What an entry that is cut off from upstreams observes: nothing, resets, or refusals of new connections while the open
 * ones live on.
 */
export type CutForm = 'silent' | 'reset' | 'newRefused';

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

/** A request that reached a running upstream. */
export interface Arrival {
  readonly content: string;
  readonly upstream: string;
  readonly dataCentre: string;
  readonly entry: string;
  readonly at: ports.Milliseconds;
}

/** Response head that an upstream sent to an entry. */
export interface Answer {
  readonly head: relayTypes.ResponseHead;
  readonly upstream: string;
  readonly entry: string;
  readonly at: ports.Milliseconds;
}

/** A crash of an upstream. */
export interface Crash {
  /** Content that caused the crash; empty if none did. */
  readonly content: string;
  readonly upstream: string;
  readonly at: ports.Milliseconds;
  /** Other contents that ran on the upstream. */
  readonly otherContents: readonly string[];
}

interface Run {
  readonly content: string;
  /** Entry that has the connection to the upstream. */
  readonly entry: string;
  readonly listener: relayTypes.ExchangeListener;
  cancelled: boolean;
}

/** Upstreams that crash when they reject more than some requests in a second for want of room. */
export interface Fragility {
  readonly maximumRejections: number;
  /** Requests that an upstream runs at the same time; none wait. */
  readonly slots: number;
}

/** A cut between an entry and some upstreams. */
interface Cut {
  readonly form: CutForm;
  readonly covers: (address: string) => boolean;
}

interface Upstream {
  announcement: instanceTypes.Announcement;
  starts: number;
  alive: boolean;
  readonly runs: Set<Run>;
  /** Times at which it rejected requests for want of room. */
  rejections: ports.Milliseconds[];
}

/** Routes of the harness, by their service; `orders` are calls to `app` that are not idempotent. */
export type RouteName = ServiceName | 'orders';

const PATHS: Readonly<Record<RouteName, string>> = { llm: '/notes/', app: '/stock/', orders: '/orders/' };

/** Framings of answers, in turn. */
const FRAMINGS: readonly relayTypes.BodyFraming[] = ['length', 'chunked', 'connection'];

/** Names of the control replicas. */
export const REPLICAS: readonly string[] = ['c1', 'c2', 'c3'];

function withFragility(
  head: relayTypes.ResponseHead,
  { maximumRejections }: Fragility,
): relayTypes.ResponseHead {
  return { ...head, signals: { leaving: false, unreadable: [], ...head.signals, maximumRejections } };
}

/** Simulated system with crashing upstreams; see the module comment. */
export class CrashTestHarness {
  readonly control: controlTestHarness.ControlTestHarness;
  readonly time: virtualTime.VirtualTime;
  readonly arrivals: Arrival[] = [];
  readonly crashes: Crash[] = [];
  readonly attempts: Attempt[] = [];
  readonly answers: Answer[] = [];
  /** Response head of an upstream; a head with `notRun` is sent immediately. */
  headOf: (upstream: string, entry: string) => relayTypes.ResponseHead = () => relayTestHarness.okHead;
  /** Fragility of the plain upstreams, which all their answers state; undefined if they are not fragile. */
  fragility: Fragility | undefined;
  private readonly entries = new Map<string, trafficEntry.TrafficEntry>();
  private readonly upstreams: Upstream[] = [];
  private readonly cuts = new Map<string, Cut>();
  private requestCount = 0;
  private answerCount = 0;

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
    private readonly effectOf: (content: string) => Effect,
    seed = 3,
    private readonly dataCentres: readonly string[] = ['a'],
  ) {
    this.control = new controlTestHarness.ControlTestHarness(REPLICAS, 1, crashTestTraffic, seed);
    this.time = this.control.time;
    this.time.advance(6_000);
    this.control.replace('c1', 1);
    for (const service of ['llm', 'app'] as const) {
      for (let index = 1; index <= upstreamCounts[service]; index += 1) {
        this.addUpstream(service, `${service}-${index}`, this.dataCentres[index % this.dataCentres.length]);
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
    this.entries.set(name, this.control.startEntry(name, this.upstreamPortOf(name), { dataCentre }));
  }

  /** Data centre of an entry. */
  dataCentreOf(entry: string): string {
    return this.dataCentres[Number(entry.slice(1)) % this.dataCentres.length] ?? 'a';
  }

  /**
   * Cuts the links between an entry and upstreams; control and the other entries still reach both.
   *
   * @param covers - true for the addresses of the upstreams that are cut off; by default all
   */
  cutOff(entry: string, form: CutForm, covers: Cut['covers'] = () => true): void {
    this.cuts.set(entry, { form, covers });
    if (form !== 'reset') {
      return;
    }
    for (const { announcement, runs } of this.upstreams) {
      for (const run of [...runs]) {
        if (run.entry === entry && covers(announcement.address)) {
          run.listener.failed('broken', 'connection reset');
          run.cancelled = true;
          runs.delete(run);
        }
      }
    }
  }

  /** Restores the links between an entry and its upstreams. */
  healCut(entry: string): void {
    this.cuts.delete(entry);
  }

  private cutFormOf(entry: string, address: string): CutForm | undefined {
    const cut = this.cuts.get(entry);
    return cut?.covers(address) === true ? cut.form : undefined;
  }

  /** Kills an entry; its state is lost. */
  killEntry(name: string): void {
    this.control.kill(name);
    this.entries.delete(name);
  }

  get entryNames(): readonly string[] {
    return [...this.entries.keys()];
  }

  private addUpstream(service: ServiceName, name: string, dataCentre = 'a'): void {
    const address = `${name}:80`;
    const announcement = instanceTestHarness.announcement(name, {
      ...{ service, address, dataCentre },
      slots: SLOTS[service],
    });
    const upstream: Upstream = { announcement, starts: 1, alive: true, runs: new Set(), rejections: [] };
    this.upstreams.push(upstream);
    this.announce(upstream);
  }

  private announce(upstream: Upstream): void {
    const { announcement } = upstream;
    if (upstream.alive) {
      const { sequence } = announcement;
      upstream.announcement = { ...announcement, sequence: sequence + 1 };
      const replica = this.control.anyRunningReplica();
      if (replica !== undefined) {
        this.control.trafficOf(replica).announce(upstream.announcement);
      }
      this.time.after(ANNOUNCEMENT_INTERVAL, () => {
        if (upstream.announcement.identity === announcement.identity) {
          this.announce(upstream);
        }
      });
    }
  }

  private crash(upstream: Upstream, content: string): void {
    const { identity, service } = upstream.announcement;
    if (!upstream.alive) {
      return;
    }
    upstream.alive = false;
    const otherContents = [...upstream.runs].map((run) => run.content).filter((other) => other !== content);
    this.crashes.push({ content, upstream: identity, at: this.time.now(), otherContents });
    for (const run of upstream.runs) {
      this.time.after(ROUND_TRIP / 2, () => {
        if (!run.cancelled) {
          run.listener.failed('broken', 'aborted');
        }
      });
    }
    upstream.runs.clear();
    this.time.after(DOWNTIME, () => {
      upstream.starts += 1;
      const name = `${upstream.announcement.address.split(':')[0] ?? service}.${upstream.starts}`;
      const { address, dataCentre } = upstream.announcement;
      upstream.announcement = instanceTestHarness.announcement(name, {
        ...{ service, address, dataCentre },
        slots: upstream.announcement.slots,
      });
      upstream.alive = true;
      this.announce(upstream);
    });
  }

  private upstreamPortOf(entry: string): relayTypes.UpstreamPort {
    return {
      send: (call, listener) => this.send(entry, call, listener),
      check: (address, done) => {
        const form = this.cutFormOf(entry, address);
        if (form !== undefined) {
          this.time.after(form === 'silent' ? CONNECT_TIMEOUT : ROUND_TRIP, () => {
            done(form === 'silent' ? 'unknown' : 'refused');
          });
          return;
        }
        this.time.after(ROUND_TRIP, () => {
          const found = this.upstreams.find(({ announcement }) => announcement.address === address);
          done(found?.alive === true ? 'accepted' : 'refused');
        });
      },
      copyMemory: (_source, _target, _request, _stop, done) => {
        done({ state: 'failed', reason: 'the test harness does not support copies' });
      },
      releaseCopy: () => undefined,
    };
  }

  private send(
    entry: string,
    call: relayTypes.UpstreamCall,
    listener: relayTypes.ExchangeListener,
  ): relayTypes.CancelExchange {
    const content = Buffer.from(call.request.body).toString();
    const run: Run = { content, entry, listener, cancelled: false };
    const found = this.upstreams.find(({ announcement }) => announcement.address === call.instance.address);
    const form = this.cutFormOf(entry, call.instance.address);
    this.time.after(form === 'silent' ? CONNECT_TIMEOUT : ROUND_TRIP, () => {
      if (run.cancelled) {
        return;
      }
      if (form !== undefined) {
        listener.failed('notSent', form === 'silent' ? 'connection timed out' : 'connection refused');
      } else if (found?.alive !== true) {
        listener.failed('notSent', 'connection refused');
      } else if (found.announcement.identity === call.instance.identity) {
        const { identity: upstream, dataCentre } = call.instance;
        this.arrivals.push({ content, upstream, dataCentre, entry, at: this.time.now() });
        this.run(found, run);
      } else {
        listener.head({ ...relayTestHarness.notRunHead, status: 421 });
        listener.end();
      }
    });
    return () => {
      run.cancelled = true;
      found?.runs.delete(run);
    };
  }

  private run(upstream: Upstream, run: Run): void {
    const service = upstream.announcement.service as ServiceName;
    const { content, entry, listener } = run;
    const { identity } = upstream.announcement;
    const { fragility } = this;
    const isFragile = fragility !== undefined && service === 'app';
    const answer = (plainHead: relayTypes.ResponseHead): void => {
      const framedHead = { ...plainHead, framing: this.nextFraming() };
      const head = isFragile ? withFragility(framedHead, fragility) : framedHead;
      upstream.runs.delete(run);
      if (this.cutFormOf(entry, upstream.announcement.address) === 'silent') {
        return;
      }
      this.answers.push({ head, upstream: identity, entry, at: this.time.now() });
      listener.head(head);
      if (!head.notRun) {
        listener.data(relayTestHarness.streamEvent(1));
      }
      listener.end();
    };
    if (isFragile && upstream.runs.size >= fragility.slots) {
      answer(relayTestHarness.notRunHead);
      this.recordRejection(upstream, fragility);
      return;
    }
    upstream.runs.add(run);
    const whileRunning = (delay: ports.Milliseconds, then: () => void): void => {
      this.time.after(delay, () => {
        if (upstream.runs.has(run)) {
          then();
        }
      });
    };
    if (this.effectOf(content) === 'crashes') {
      whileRunning(START_DELAY[service] + CRASH_DELAY[service], () => {
        this.crash(upstream, content);
      });
      return;
    }
    if (this.headOf(identity, entry).notRun) {
      whileRunning(ROUND_TRIP / 2, () => {
        answer(this.headOf(identity, entry));
      });
      return;
    }
    whileRunning(START_DELAY[service] + RUN_DURATION[service], () => {
      answer(this.headOf(identity, entry));
    });
  }

  private nextFraming(): relayTypes.BodyFraming {
    this.answerCount += 1;
    return FRAMINGS[this.answerCount % FRAMINGS.length] ?? 'length';
  }

  private recordRejection(upstream: Upstream, { maximumRejections }: Fragility): void {
    const now = this.time.now();
    upstream.rejections = [...upstream.rejections.filter((at) => now - at < 1_000), now];
    if (upstream.rejections.length > maximumRejections) {
      upstream.rejections = [];
      this.crash(upstream, '');
    }
  }

  /** Crashes one running upstream of a service, together with all runs on it. */
  crashOne(service: ServiceName): void {
    const found = this.upstreams.find(({ announcement, alive }) => announcement.service === service && alive);
    if (found !== undefined) {
      this.crash(found, '');
    }
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
    this.entries.get(entry)?.handle(this.request(route, content, account), {
      refuse: (refusal) => {
        settle(refusal.reason, refusal);
      },
      respond: () => {
        settle('served');
      },
      begin: () => undefined,
      write: () => undefined,
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

  private request(route: RouteName, content: string, account: string): relayTypes.TrafficRequest {
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
      ...(route === 'llm' && { generation }),
    };
  }
}
