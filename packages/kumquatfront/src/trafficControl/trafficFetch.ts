/**
 * An entry's way to the newest configuration: replicas tell that there is one, and one of them is asked for it.
 *
 * Pattern: changes follow each other many times a second. A configuration of a hundred routes has some twenty
 * kilobytes, and an entry's link carries less than a megabyte a second; sent by each of six replicas at each change
 * the configurations fill it, and calls wait a quarter of a second behind them. Fetched from one replica at most
 * five times a second, they take a tenth of the link at the most, and the last one is there well within a second.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as trafficTypes from '../traffic/types.js';
import * as methods from './methods.js';

/** Time between two fetches; short beside the two seconds in which a change must be in force. */
const PAUSE: ports.Milliseconds = 200;

/** The preferred replica tells of a version within this time of the first one, unless it is cut off. */
const PREFERRED_WAIT: ports.Milliseconds = 25;

/**
 * A replica that has not answered by then may be cut off: another one is asked besides. The largest configurations
 * seen, of 1,400 routes, take half a second over an entry's link.
 */
const SECOND_AFTER: ports.Milliseconds = 800;

/** A fetch is given up after this long: half a megabyte over a slow link takes most of a second. */
const TIMEOUT: ports.Milliseconds = 2_000;

/** What the fetch is made from. */
export interface TrafficFetchOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  readonly log: ports.Log;
  /** The replica that is asked where several have the same version; empty for any. */
  readonly preferred: () => string;
  /** Takes a configuration in; called with ever higher versions only. */
  readonly onTraffic: (traffic: trafficTypes.VersionedText) => void;
}

interface Asked {
  /** Version that the replica had told of. */
  readonly version: number;
  readonly at: ports.Milliseconds;
}

/** The fetch; see the module comment. */
export class TrafficFetch {
  private readonly options: TrafficFetchOptions;
  /** Highest version that each replica has told of. */
  private readonly told = new Map<string, number>();
  /** Replicas that have been asked and not answered yet. */
  private readonly asked = new Map<string, Asked>();
  private version = 0;
  private fetchedAt = Number.NEGATIVE_INFINITY;
  private next = { at: Number.POSITIVE_INFINITY, cancel: (): void => undefined };

  constructor(options: TrafficFetchOptions) {
    this.options = options;
  }

  /** Version in force; 0 before the first. */
  get inForce(): number {
    return this.version;
  }

  /** Highest version that a replica has told of, or that is in force. */
  knownFrom(address: string): number {
    return Math.max(this.version, this.told.get(address) ?? 0);
  }

  /** Takes in that a replica has a version. */
  hear(address: string, version: number): void {
    if (version <= this.knownFrom(address)) {
      return;
    }
    this.told.set(address, version);
    const preferred = this.options.preferred();
    const wait = preferred === '' || preferred === address ? 0 : PREFERRED_WAIT;
    this.fetchSoon(Math.max(wait, this.fetchedAt + PAUSE - this.options.timers.now()));
  }

  /** Fetches after a while, or at an earlier moment that was asked for before. */
  private fetchSoon(delay: ports.Milliseconds): void {
    const { timers } = this.options;
    const at = timers.now() + Math.max(0, delay);
    if (at >= this.next.at) {
      return;
    }
    this.next.cancel();
    const cancel = timers.after(at - timers.now(), () => {
      this.next = { at: Number.POSITIVE_INFINITY, cancel: () => undefined };
      this.fetch();
    });
    this.next = { at, cancel };
  }

  /** Version that is in force, or on its way from a replica that may still answer in time. */
  private expected(now: number): number {
    const underway = [...this.asked.values()].filter(({ at }) => now - at < SECOND_AFTER);
    return Math.max(this.version, ...underway.map(({ version }) => version));
  }

  /**
   * The replica that has told of the newest version, of those that are not being asked. The preferred one comes first
   * among equals: a configuration of twenty kilobytes to each of two hundred entries had better stay in its data centre.
   */
  private best(): readonly [address: string, version: number] | undefined {
    const preferred = this.options.preferred();
    const free = [...this.told].filter(([address]) => !this.asked.has(address));
    free.sort(([leftAddress, left], [rightAddress, right]) => {
      return right - left || Number(rightAddress === preferred) - Number(leftAddress === preferred);
    });
    return free[0];
  }

  /** Asks the best replica, and looks again when it should have answered. */
  private fetch(): void {
    const now = this.options.timers.now();
    const [address, version] = this.best() ?? ['', 0];
    if (version <= this.version) {
      return;
    }
    if (version > this.expected(now)) {
      this.ask(address, version, now);
    }
    this.fetchSoon(this.fetchedAt + SECOND_AFTER - now);
  }

  private ask(address: string, version: number, now: ports.Milliseconds): void {
    const { peers, log } = this.options;
    this.asked.set(address, { version, at: now });
    this.fetchedAt = now;
    const request: methods.FetchRequest = { above: this.version };
    peers.request(address, methods.methods.fetch, request, TIMEOUT, (result) => {
      this.asked.delete(address);
      if (result.err) {
        log.warn('trafficNotFetched', { control: address, reason: result.val.message });
        // It tells again once it is heard from.
        this.told.delete(address);
        this.fetchSoon(0);
        return;
      }
      this.take(address, result.val as trafficTypes.VersionedText | null);
    });
  }

  private take(address: string, traffic: trafficTypes.VersionedText | null): void {
    if (traffic === null || traffic.version <= this.version) {
      this.told.delete(address);
      return;
    }
    this.version = traffic.version;
    this.options.log.info('trafficInForce', { version: traffic.version, control: address });
    this.options.onTraffic(traffic);
  }
}
