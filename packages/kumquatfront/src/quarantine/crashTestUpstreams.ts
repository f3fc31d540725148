/**
 * Upstreams of the crash test harness: they crash under certain requests and restart seconds later as new instances, or
 * send back-pressure signals in their answers. Entries can be cut off from them.
 */
import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as virtualTime from '../kernel/virtualTime.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
import type * as relayTypes from '../relay/types.js';
import * as unsentExchange from '../relay/unsentExchange.js';

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

/** Framings of answers, in turn. */
const FRAMINGS: readonly relayTypes.BodyFraming[] = ['length', 'chunked', 'connection'];

function withFragility(
  head: relayTypes.ResponseHead,
  { maximumRejections }: Fragility,
): relayTypes.ResponseHead {
  return { ...head, signals: { leaving: false, unreadable: [], ...head.signals, maximumRejections } };
}

/** Simulated upstreams; see the module comment. */
export class CrashTestUpstreams {
  readonly arrivals: Arrival[] = [];
  readonly crashes: Crash[] = [];
  readonly answers: Answer[] = [];
  /** Response head of an upstream; a head with `notRun` is sent immediately. */
  headOf: (upstream: string, entry: string) => relayTypes.ResponseHead = () => relayTestHarness.okHead;
  /** Fragility of the plain upstreams, which all their answers state; undefined if they are not fragile. */
  fragility: Fragility | undefined;
  private readonly upstreams: Upstream[] = [];
  private readonly cuts = new Map<string, Cut>();
  private answerCount = 0;

  /**
   * @param effectOf - returns the effect of a content on its upstream
   * @param sendAnnouncement - sends an announcement to a control replica
   */
  constructor(
    private readonly time: virtualTime.VirtualTime,
    private readonly effectOf: (content: string) => Effect,
    private readonly sendAnnouncement: (announcement: instanceTypes.Announcement) => void,
  ) {}

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

  /** Starts an upstream. */
  add(service: ServiceName, name: string, dataCentre = 'a'): void {
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
      this.sendAnnouncement(upstream.announcement);
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

  /** Port of an entry to the upstreams. */
  portOf(entry: string): relayTypes.UpstreamPort {
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
  ): relayTypes.UpstreamExchange {
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
    return unsentExchange.create(() => {
      run.cancelled = true;
      found?.runs.delete(run);
    });
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
}
