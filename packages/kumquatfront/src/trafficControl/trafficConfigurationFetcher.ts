/**
 * Fetches the newest traffic configuration for an entry: control replicas announce versions, and the entry requests the
 * configuration from one of them.
 *
 * Fetching from a single replica at a limited rate keeps frequent changes of a large configuration from saturating the
 * entry's link and delaying calls.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as trafficTypes from '../traffic/types.js';
import * as methods from './methods.js';

/** Minimum time between two fetches. */
const FETCH_INTERVAL: ports.Milliseconds = 200;

/** Time to wait for the preferred replica to announce a version that another replica announced first. */
const PREFERRED_REPLICA_DELAY: ports.Milliseconds = 25;

/** Time without an answer after which the fetch is also sent to another replica. */
const HEDGE_DELAY: ports.Milliseconds = 800;

/** Timeout of a fetch; allows for a large configuration over a slow link. */
const FETCH_TIMEOUT: ports.Milliseconds = 2_000;

/** Dependencies and callbacks of {@link TrafficConfigurationFetcher}. */
export interface TrafficConfigurationFetcherOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  readonly log: ports.Log;
  /** Address of the replica to fetch from when several have the same version; empty for no preference. */
  readonly preferredReplica: () => string;
  /** Called with each new configuration, in increasing order of version. */
  readonly onTraffic: (traffic: trafficTypes.VersionedText) => void;
}

interface PendingFetch {
  /** Version that the replica had announced. */
  readonly version: number;
  readonly startedAt: ports.Milliseconds;
  /** Bytes that the entry had received from all peers when the fetch started. */
  readonly receivedBefore: number;
}

/** Fetches announced configuration versions from one replica at a time. */
export class TrafficConfigurationFetcher {
  private readonly options: TrafficConfigurationFetcherOptions;
  /** Highest version that each replica has announced, by address. */
  private readonly announcedVersions = new Map<string, number>();
  /** Fetches that have not been answered yet, by replica address. */
  private readonly pending = new Map<string, PendingFetch>();
  private version = 0;
  private lastFetchAt = Number.NEGATIVE_INFINITY;
  private scheduled = { at: Number.POSITIVE_INFINITY, cancel: (): void => undefined };

  constructor(options: TrafficConfigurationFetcherOptions) {
    this.options = options;
  }

  /** Version in force; 0 before the first configuration. */
  get versionInForce(): number {
    return this.version;
  }

  /** Highest version that the replica has announced or that is in force. */
  knownVersion(address: string): number {
    return Math.max(this.version, this.announcedVersions.get(address) ?? 0);
  }

  /** Records that a replica has a version, and schedules a fetch if the version is new. */
  recordVersion(address: string, version: number): void {
    if (version <= this.knownVersion(address)) {
      return;
    }
    this.announcedVersions.set(address, version);
    const preferred = this.options.preferredReplica();
    const delay = preferred === '' || preferred === address ? 0 : PREFERRED_REPLICA_DELAY;
    this.scheduleFetch(Math.max(delay, this.lastFetchAt + FETCH_INTERVAL - this.options.timers.now()));
  }

  /** Schedules a fetch after a delay, unless an earlier one is scheduled. */
  private scheduleFetch(delay: ports.Milliseconds): void {
    const { timers } = this.options;
    const at = timers.now() + Math.max(0, delay);
    if (at >= this.scheduled.at) {
      return;
    }
    this.scheduled.cancel();
    const cancel = timers.after(at - timers.now(), () => {
      this.scheduled = { at: Number.POSITIVE_INFINITY, cancel: () => undefined };
      this.fetchNewest();
    });
    this.scheduled = { at, cancel };
  }

  /** Highest version that is in force, or that a fetch younger than the hedging delay will deliver. */
  private expectedVersion(now: number): number {
    const inFlight = [...this.pending.values()].filter(({ startedAt }) => now - startedAt < HEDGE_DELAY);
    return Math.max(this.version, ...inFlight.map(({ version }) => version));
  }

  /**
   * Returns the replica that has announced the highest version, of those without a pending fetch. On equal versions the
   * preferred replica comes first, which keeps the transfer within the entry's data centre.
   */
  private bestSource(): readonly [address: string, version: number] | undefined {
    const preferred = this.options.preferredReplica();
    const idle = [...this.announcedVersions].filter(([address]) => !this.pending.has(address));
    idle.sort(([leftAddress, left], [rightAddress, right]) => {
      return right - left || Number(rightAddress === preferred) - Number(leftAddress === preferred);
    });
    return idle[0];
  }

  /** Fetches from the best source, and checks again after the hedging delay. */
  private fetchNewest(): void {
    const now = this.options.timers.now();
    const [address, version] = this.bestSource() ?? ['', 0];
    if (version <= this.version) {
      return;
    }
    if (version > this.expectedVersion(now)) {
      this.requestFrom(address, version, now);
    }
    this.scheduleFetch(this.lastFetchAt + HEDGE_DELAY - now);
  }

  private requestFrom(address: string, version: number, now: ports.Milliseconds): void {
    const { peers, log } = this.options;
    const fetch: PendingFetch = { version, startedAt: now, receivedBefore: peers.bytesReceived?.() ?? 0 };
    this.pending.set(address, fetch);
    this.lastFetchAt = now;
    log.info('trafficFetchStarted', {
      version,
      control: address,
      above: this.version,
      inFlight: this.pending.size,
    });
    const request: methods.FetchRequest = { above: this.version };
    peers.request(address, methods.methods.fetch, request, FETCH_TIMEOUT, (result) => {
      this.pending.delete(address);
      if (result.err) {
        const reason = result.val.message;
        log.warn('trafficNotFetched', { version, control: address, ...this.effort(fetch), reason });
        // The replica announces the version again with its next watch answer.
        this.announcedVersions.delete(address);
        this.scheduleFetch(0);
        return;
      }
      this.applyResponse(address, fetch, result.val as trafficTypes.VersionedText | null);
    });
  }

  /** Time since the start of a fetch, and what the entry has received from all peers in that time. */
  private effort(fetch: PendingFetch): ports.LogFields {
    const { peers, timers } = this.options;
    return {
      waited: Math.round(timers.now() - fetch.startedAt),
      bytesReceived: (peers.bytesReceived?.() ?? 0) - fetch.receivedBefore,
      inFlight: this.pending.size,
    };
  }

  private applyResponse(
    address: string,
    fetch: PendingFetch,
    traffic: trafficTypes.VersionedText | null,
  ): void {
    if (traffic === null || traffic.version <= this.version) {
      this.announcedVersions.delete(address);
      return;
    }
    this.version = traffic.version;
    const { version, text } = traffic;
    const effort = this.effort(fetch);
    this.options.log.info('trafficInForce', {
      version,
      control: address,
      characters: text.length,
      ...effort,
    });
    this.options.onTraffic(traffic);
  }
}
