/**
 * A whole system on virtual time for the specs of what upstreams do to those that send to them: control replicas,
 * entries, and upstreams that end under certain requests and are back seconds later as new instances, or that say in
 * their answers how much they want to be sent.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import * as instanceBench from '../instances/instanceBench.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as virtualTime from '../kernel/virtualTime.js';
import * as relayBench from '../relay/relayBench.js';
import type * as relayTypes from '../relay/types.js';
import * as controlBench from '../trafficControl/controlBench.js';
import type * as trafficEntry from '../trafficEntry/trafficEntry.js';
import * as crashBenchTraffic from './crashBenchTraffic.js';

/** What a request does to the upstream that runs it. */
export type Effect = 'served' | 'crashes';

/** The services of the bench: engines that generate, and a plain one. */
export type ServiceName = 'llm' | 'app';

const ROUND_TRIP: ports.Milliseconds = 2;
/** Time from the arrival of a request to the begin of its run: a prompt is read first. */
const BEGINS_AFTER: Readonly<Record<ServiceName, ports.Milliseconds>> = { llm: 400, app: 1 };
/** Time from the begin of a run to the crash under it. */
const CRASHES_AFTER: Readonly<Record<ServiceName, ports.Milliseconds>> = { llm: 80, app: 10 };
const RUNS_FOR: Readonly<Record<ServiceName, ports.Milliseconds>> = { llm: 300, app: 25 };
const DOWN_FOR: ports.Milliseconds = 3_000;
const ANNOUNCES_EVERY: ports.Milliseconds = 1_200;

/** An attempt of a caller and what came of it. */
export interface Attempt {
  readonly content: string;
  readonly entry: string;
  readonly askedAt: ports.Milliseconds;
  /** `served`, `broken`, or the reason of a refusal; undefined while it runs. */
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

/** The head of an upstream's answer on its way to an entry. */
export interface Answer {
  readonly head: relayTypes.UpstreamHead;
  readonly upstream: string;
  readonly entry: string;
  readonly at: ports.Milliseconds;
}

/** The end of an upstream. */
export interface Crash {
  /** Content under which it ended; empty where it ended of itself. */
  readonly content: string;
  readonly upstream: string;
  readonly at: ports.Milliseconds;
  /** What else ran there. */
  readonly beside: readonly string[];
}

interface Run {
  readonly content: string;
  readonly entry: string;
  readonly listener: relayTypes.ExchangeListener;
  cancelled: boolean;
}

interface Upstream {
  announcement: instanceTypes.Announcement;
  starts: number;
  alive: boolean;
  readonly runs: Set<Run>;
}

const PATHS: Readonly<Record<ServiceName, string>> = { llm: '/notes/', app: '/stock/' };

/** The control replicas of the bench. */
export const REPLICAS: readonly string[] = ['c1', 'c2', 'c3'];

/** The bench; see the module comment. */
export class CrashBench {
  readonly control: controlBench.ControlBench;
  readonly time: virtualTime.VirtualTime;
  readonly arrivals: Arrival[] = [];
  readonly crashes: Crash[] = [];
  readonly attempts: Attempt[] = [];
  readonly answers: Answer[] = [];
  /** What an upstream answers with; one that did not run the request says so at once. */
  headOf: (upstream: string, entry: string) => relayTypes.UpstreamHead = () => relayBench.soundHead;
  private readonly entries = new Map<string, trafficEntry.TrafficEntry>();
  private readonly upstreams: Upstream[] = [];
  private asked = 0;

  /**
   * @param entryCount - entries, named `e1` and on
   * @param upstreamCounts - instances of each service
   * @param effectOf - what a content does to its upstream
   * @param seed - of what is drawn at random
   * @param dataCentres - where the instances of each service are, in turn
   */
  constructor(
    entryCount: number,
    upstreamCounts: Readonly<Record<ServiceName, number>>,
    private readonly effectOf: (content: string) => Effect,
    seed = 3,
    private readonly dataCentres: readonly string[] = ['a'],
  ) {
    this.control = new controlBench.ControlBench(REPLICAS, 1, crashBenchTraffic, seed);
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

  /** Starts an entry; one that ran under the name is gone with all that it knew. */
  startEntry(name: string): void {
    this.entries.set(name, this.control.startEntry(name, this.upstreamsOf(name)));
  }

  /** Kills an entry; nothing that it knew is left. */
  killEntry(name: string): void {
    this.control.kill(name);
    this.entries.delete(name);
  }

  get entryNames(): readonly string[] {
    return [...this.entries.keys()];
  }

  private addUpstream(service: ServiceName, name: string, dataCentre = 'a'): void {
    const address = `${name}:80`;
    const announcement = instanceBench.announcement(name, { service, address, dataCentre });
    const upstream: Upstream = { announcement, starts: 1, alive: true, runs: new Set() };
    this.upstreams.push(upstream);
    this.announce(upstream);
  }

  private announce(upstream: Upstream): void {
    const { announcement } = upstream;
    if (upstream.alive) {
      const { sequence } = announcement;
      upstream.announcement = { ...announcement, sequence: sequence + 1 };
      const replica = this.control.anyAlive();
      if (replica !== undefined) {
        this.control.trafficOf(replica).announce(upstream.announcement);
      }
      this.time.after(ANNOUNCES_EVERY, () => {
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
    const beside = [...upstream.runs].map((run) => run.content).filter((other) => other !== content);
    this.crashes.push({ content, upstream: identity, at: this.time.now(), beside });
    for (const run of upstream.runs) {
      this.time.after(ROUND_TRIP / 2, () => {
        if (!run.cancelled) {
          run.listener.failed('broken', 'aborted');
        }
      });
    }
    upstream.runs.clear();
    this.time.after(DOWN_FOR, () => {
      upstream.starts += 1;
      const name = `${upstream.announcement.address.split(':')[0] ?? service}.${upstream.starts}`;
      const { address, dataCentre } = upstream.announcement;
      upstream.announcement = instanceBench.announcement(name, { service, address, dataCentre });
      upstream.alive = true;
      this.announce(upstream);
    });
  }

  private upstreamsOf(entry: string): relayTypes.UpstreamPort {
    return {
      send: (call, listener) => this.send(entry, call, listener),
      check: (address, done) => {
        this.time.after(ROUND_TRIP, () => {
          const found = this.upstreams.find(({ announcement }) => announcement.address === address);
          done(found?.alive === true ? 'accepted' : 'refused');
        });
      },
      copyMemory: (_source, _target, _request, _stop, done) => {
        done({ state: 'failed', reason: 'no copies on this bench' });
      },
      dropCopy: () => undefined,
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
    this.time.after(ROUND_TRIP, () => {
      if (run.cancelled) {
        return;
      }
      if (found?.alive !== true) {
        listener.failed('notSent', 'connection refused');
      } else if (found.announcement.identity === call.instance.identity) {
        const { identity: upstream, dataCentre } = call.instance;
        this.arrivals.push({ content, upstream, dataCentre, entry, at: this.time.now() });
        this.run(found, run);
      } else {
        listener.head({ ...relayBench.notRunHead, status: 421 });
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
    const answer = (head: relayTypes.UpstreamHead): void => {
      upstream.runs.delete(run);
      this.answers.push({ head, upstream: identity, entry, at: this.time.now() });
      listener.head(head);
      if (!head.notRun) {
        listener.data(relayBench.event(1));
      }
      listener.end();
    };
    upstream.runs.add(run);
    const whileRunning = (delay: ports.Milliseconds, then: () => void): void => {
      this.time.after(delay, () => {
        if (upstream.runs.has(run)) {
          then();
        }
      });
    };
    if (this.effectOf(content) === 'crashes') {
      whileRunning(BEGINS_AFTER[service] + CRASHES_AFTER[service], () => {
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
    whileRunning(BEGINS_AFTER[service] + RUNS_FOR[service], () => {
      answer(this.headOf(identity, entry));
    });
  }

  /** An upstream ends by itself, with whatever runs on it. */
  endOne(service: ServiceName): void {
    const found = this.upstreams.find(({ announcement, alive }) => announcement.service === service && alive);
    if (found !== undefined) {
      this.crash(found, '');
    }
  }

  /**
   * A caller's attempt; each has an identity of its own.
   *
   * @param done - told of the outcome
   */
  ask(
    entry: string,
    service: ServiceName,
    content: string,
    done: (attempt: Attempt) => void = () => undefined,
    account = 'school-1',
  ): Attempt {
    this.asked += 1;
    const attempt: Attempt = {
      content,
      entry,
      askedAt: this.time.now(),
      outcome: undefined,
      refusal: undefined,
    };
    this.attempts.push(attempt);
    const settle = (outcome: string, refusal?: relayTypes.Refusal): void => {
      attempt.outcome = outcome;
      attempt.refusal = refusal;
      done(attempt);
    };
    this.entries.get(entry)?.handle(this.request(service, content, account), {
      refuse: (refusal) => {
        settle(refusal.reason, refusal);
      },
      whole: () => {
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
      onGone: () => undefined,
    });
    return attempt;
  }

  /** Callers ask at random entries, at a steady rate. */
  drive(service: ServiceName, perSecond: number, length: ports.Milliseconds): void {
    const random = seededRandom.create(11);
    const { entryNames } = this;
    for (let at = 0; at < length; at += 1_000 / perSecond) {
      this.time.after(at, () => {
        const entry = entryNames[Math.floor(random.next() * entryNames.length)] ?? '';
        this.ask(entry, service, `request ${at}`);
      });
    }
    this.time.advance(length);
  }

  private request(service: ServiceName, content: string, account: string): relayTypes.TrafficRequest {
    const generation = { promptTokens: 900, outputLimit: 44, lengthHint: 2, prompt: content };
    return {
      identity: `r${this.asked}`,
      host: crashBenchTraffic.HOST,
      path: PATHS[service] + 'x',
      method: 'POST',
      headers: [],
      body: Buffer.from(content),
      key: account,
      arrivedAt: this.time.now(),
      ...(service === 'llm' && { generation }),
    };
  }
}
