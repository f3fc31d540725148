/**
 * Simulated engines that announce a software version and stamp it on every event. They copy the memory of generations to
 * each other, crash, and leave.
 */
import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as virtualTime from '../kernel/virtualTime.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
import type * as relayTypes from '../relay/types.js';
import * as unsentExchange from '../relay/unsentExchange.js';

/** Number of events in a complete stream. */
export const STREAM_EVENTS = 40;

const ROUND_TRIP: ports.Milliseconds = 2;
const FIRST_EVENT_DELAY: ports.Milliseconds = 300;
const EVENT_INTERVAL: ports.Milliseconds = 60;
const COPY_TIME: ports.Milliseconds = 80;
const ANNOUNCEMENT_INTERVAL: ports.Milliseconds = 1_200;

interface Run {
  readonly request: string;
  readonly entry: string;
  readonly listener: relayTypes.ExchangeListener;
  readonly cancelTimers: ports.Cancel[];
  lastEvent: number;
}

/** A simulated engine. */
export interface Engine {
  announcement: instanceTypes.Announcement;
  alive: boolean;
  readonly runs: Set<Run>;
  /** Handles of copies that it holds. */
  readonly copies: Set<string>;
  /** True once an announcement has reached control. */
  isListed: boolean;
  /** True while it produces no events. */
  isSilent: boolean;
}

/** Reads the software version that an engine stamped on an event. */
export function stampOf(event: string): string {
  return /^data: (.*)$/m.exec(event)?.[1] ?? '';
}

function eventText(index: number, version: string): Buffer {
  return Buffer.from(`id: ${index}\ndata: ${version}\n\n`);
}

/** All engines of a simulated system; see the module comment. */
export class OriginTestEngines {
  readonly engines: Engine[] = [];
  /** Entries that reach no engine. */
  readonly cutOff = new Set<string>();
  private startCount = 0;
  private copyCount = 0;

  constructor(
    private readonly time: virtualTime.VirtualTime,
    /** Sends an announcement to control; returns false if no replica runs. */
    private readonly announce: (announcement: instanceTypes.Announcement) => boolean,
  ) {}

  /** Starts an engine; one without a version announces none. */
  start(softwareVersion: string | undefined, address = `engine-${this.startCount + 1}:80`): Engine {
    this.startCount += 1;
    const announcement = instanceTestHarness.announcement(`i-${this.startCount}`, {
      ...{ address, softwareVersion },
    });
    const engine: Engine = {
      announcement,
      alive: true,
      runs: new Set(),
      copies: new Set(),
      isListed: false,
      isSilent: false,
    };
    this.engines.push(engine);
    this.sendAnnouncements(engine);
    return engine;
  }

  /** Listed engines of a version that run and do not leave. */
  serving(softwareVersion: string | undefined): readonly Engine[] {
    return this.engines.filter(
      ({ alive, isListed, announcement }) =>
        alive &&
        isListed &&
        announcement.state === 'ready' &&
        announcement.softwareVersion === softwareVersion,
    );
  }

  private sendAnnouncements(engine: Engine): void {
    if (engine.alive) {
      const { announcement } = engine;
      engine.announcement = { ...announcement, sequence: announcement.sequence + 1 };
      engine.isListed = this.announce(engine.announcement) || engine.isListed;
      this.time.after(ANNOUNCEMENT_INTERVAL, () => {
        this.sendAnnouncements(engine);
      });
    }
  }

  /** Crashes an engine; all its streams break. */
  crash(engine: Engine): void {
    engine.alive = false;
    engine.copies.clear();
    for (const run of [...engine.runs]) {
      this.endRun(engine, run);
      this.time.after(ROUND_TRIP / 2, () => {
        run.listener.failed('broken', 'aborted');
      });
    }
  }

  /** Announces the termination of an engine and crashes it after the notice. */
  leave(engine: Engine, notice: ports.Milliseconds): void {
    engine.announcement = { ...engine.announcement, state: 'leaving' };
    this.announce(engine.announcement);
    this.time.after(notice, () => {
      this.crash(engine);
    });
  }

  /** Drops the runs of an entry whose connections have closed. */
  dropRunsOf(entry: string): void {
    for (const engine of this.engines) {
      for (const run of [...engine.runs].filter((candidate) => candidate.entry === entry)) {
        this.endRun(engine, run);
      }
    }
  }

  private endRun(engine: Engine, run: Run): void {
    engine.runs.delete(run);
    for (const cancel of run.cancelTimers) {
      cancel();
    }
  }

  /** Port of an entry to the engines. */
  portOf(entry: string): relayTypes.UpstreamPort {
    return {
      send: (call, listener) => this.send(entry, call, listener),
      check: (address, done) => {
        this.time.after(ROUND_TRIP, () => {
          const isReached = !this.cutOff.has(entry) && this.at(address) !== undefined;
          done(isReached ? 'accepted' : 'refused');
        });
      },
      copyMemory: (source, target, request, stop, done) => {
        this.time.after(COPY_TIME, () => {
          done(this.copy(source.address, target.address, request, stop));
        });
      },
      releaseCopy: () => undefined,
    };
  }

  private at(address: string): Engine | undefined {
    return this.engines.find((engine) => engine.alive && engine.announcement.address === address);
  }

  private copy(source: string, target: string, request: string, stop: boolean): relayTypes.CopyResult {
    const from = this.at(source);
    const to = this.at(target);
    const run = [...(from?.runs ?? [])].find((candidate) => candidate.request === request);
    if (from === undefined || run === undefined) {
      return from === undefined ? { state: 'failed', reason: 'connection refused' } : { state: 'noRun' };
    }
    if (to === undefined) {
      return { state: 'noRoom' };
    }
    this.copyCount += 1;
    const handle = `copy-${this.copyCount}`;
    to.copies.add(handle);
    if (stop) {
      this.endRun(from, run);
      run.listener.end();
    }
    return { state: 'copied', handle };
  }

  private send(
    entry: string,
    call: relayTypes.UpstreamCall,
    listener: relayTypes.ExchangeListener,
  ): relayTypes.UpstreamExchange {
    let cancelled = false;
    let running: { readonly engine: Engine; readonly run: Run } | undefined;
    this.time.after(ROUND_TRIP, () => {
      if (cancelled) {
        return;
      }
      const engine = this.at(call.instance.address);
      if (engine === undefined || this.cutOff.has(entry)) {
        listener.failed('notSent', 'connection refused');
      } else if (engine.announcement.identity !== call.instance.identity) {
        listener.head({ ...relayTestHarness.notRunHead, status: 421 });
        listener.end();
      } else if (call.copy !== undefined && !engine.copies.delete(call.copy.handle)) {
        listener.head(relayTestHarness.notRunHead);
        listener.end();
      } else {
        running = { engine, run: this.run(engine, entry, call, listener) };
      }
    });
    return unsentExchange.create(() => {
      cancelled = true;
      if (running !== undefined) {
        this.endRun(running.engine, running.run);
      }
    });
  }

  private run(
    engine: Engine,
    entry: string,
    call: relayTypes.UpstreamCall,
    listener: relayTypes.ExchangeListener,
  ): Run {
    const run: Run = {
      ...{ request: call.request.identity, entry, listener, cancelTimers: [] },
      lastEvent: Number(call.lastEvent ?? '0'),
    };
    engine.runs.add(run);
    listener.head(relayTestHarness.okHead);
    const produce = (): void => {
      if (engine.isSilent) {
        run.cancelTimers.push(this.time.after(EVENT_INTERVAL, produce));
        return;
      }
      run.lastEvent += 1;
      listener.data(
        eventText(run.lastEvent, engine.announcement.softwareVersion ?? engine.announcement.identity),
      );
      if (!engine.runs.has(run)) {
        return;
      }
      if (run.lastEvent >= STREAM_EVENTS) {
        this.endRun(engine, run);
        listener.end();
      } else {
        run.cancelTimers.push(this.time.after(EVENT_INTERVAL, produce));
      }
    };
    const delay = call.copy === undefined ? FIRST_EVENT_DELAY : EVENT_INTERVAL;
    run.cancelTimers.push(this.time.after(delay, produce));
    return run;
  }
}
