/**
 * Which upstreams this entry reaches by its own links. An upstream that refuses connections, or does not answer them, may
 * have crashed, or the entry may be cut off; only other entries show which. An entry that reaches none of several
 * upstreams takes itself to be cut off until a probe is accepted.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as relayTypes from '../relay/types.js';

/** Upstreams that must be out of reach, with none reached since, before the entry takes itself to be cut off. */
const CUT_OFF_UPSTREAMS = 2;

const PROBE_INTERVAL: ports.Milliseconds = 250;

/** Upstreams that are probed at a time. */
const PROBES = 2;

/** Time after the start of a cut within which one accepted probe refutes it; several upstreams may just have crashed. */
const VERIFICATION_TIME: ports.Milliseconds = 600;

/** Accepted probes in a row after which a path is used again. */
const MINIMUM_ACCEPTED_PROBES = 2;
const MAXIMUM_ACCEPTED_PROBES = 8;

/** A cut that returns within this time doubles the accepted probes that the next restoration takes. */
const FLAPPING_TIME: ports.Milliseconds = 5_000;

/** Dependencies and callbacks of {@link UpstreamPaths}. */
export interface UpstreamPathsOptions {
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** Tries to connect to an address. */
  readonly check: relayTypes.UpstreamPort['check'];
  /** All upstreams that take requests. */
  readonly instances: () => readonly instanceView.Instance[];
  /** Called when {@link UpstreamPaths.isCutOff} has changed. */
  readonly onCutOffChanged: () => void;
}

/** Paths to upstreams; see the module comment. */
export class UpstreamPaths {
  private readonly options: UpstreamPathsOptions;
  /** Upstreams that other entries reach and this one does not, with the accepted probes in a row. */
  private readonly cutPaths = new Map<string, number>();
  /** Upstreams out of reach since an upstream was last reached. */
  private readonly unreached = new Set<string>();
  private lastUnreachedAt: ports.Milliseconds = Number.NEGATIVE_INFINITY;
  private cutOffSince: ports.Milliseconds | undefined;
  private lastRestoredAt: ports.Milliseconds = Number.NEGATIVE_INFINITY;
  private acceptedInARow = 0;
  private requiredAccepts = MINIMUM_ACCEPTED_PROBES;
  private cancelProbing: ports.Cancel | undefined;

  constructor(options: UpstreamPathsOptions) {
    this.options = options;
  }

  /** True while this entry takes itself to reach no upstream. */
  get isCutOff(): boolean {
    return this.cutOffSince !== undefined;
  }

  /** True if requests for an upstream are to be sent through another entry. */
  isCut({ identity }: instanceView.Instance): boolean {
    return this.isCutOff || this.cutPaths.has(identity);
  }

  /**
   * Records that an upstream answered on a connection of this entry.
   *
   * @param startedAt - time at which the connection was opened; one that was opened before a cut shows nothing
   */
  recordReached(startedAt: ports.Milliseconds): void {
    if (startedAt >= this.lastUnreachedAt) {
      this.unreached.clear();
    }
  }

  /** Records that this entry could not connect to an upstream. */
  recordUnreached({ identity }: instanceView.Instance): void {
    const { timers } = this.options;
    this.lastUnreachedAt = timers.now();
    this.unreached.add(identity);
    const known = this.options.instances().length;
    if (!this.isCutOff && known > 0 && this.unreached.size >= Math.min(CUT_OFF_UPSTREAMS, known)) {
      this.setCutOff(true);
    }
  }

  /** Records that another entry reaches an upstream that this one could not connect to. */
  recordReachedByPeer(identity: string): void {
    if (!this.cutPaths.has(identity)) {
      this.cutPaths.set(identity, 0);
      this.options.log.info('upstreamCutOff', { upstream: identity });
      this.startProbing();
    }
  }

  /** Discards the state of an upstream that was removed or has restarted. */
  removeUpstream(identity: string): void {
    this.cutPaths.delete(identity);
    this.unreached.delete(identity);
  }

  private setCutOff(isCutOff: boolean): void {
    const { timers, log, metrics, onCutOffChanged } = this.options;
    const now = timers.now();
    if (isCutOff) {
      const isFlapping = now - this.lastRestoredAt < FLAPPING_TIME;
      this.requiredAccepts = isFlapping
        ? Math.min(MAXIMUM_ACCEPTED_PROBES, this.requiredAccepts * 2)
        : MINIMUM_ACCEPTED_PROBES;
      this.cutOffSince = now;
      this.acceptedInARow = 0;
      log.warn('entryCutOff', { upstreams: [...this.unreached].join(' ') });
      this.startProbing();
    } else {
      log.info('entryReachesUpstreams', { after: Math.round(now - (this.cutOffSince ?? now)) });
      this.cutOffSince = undefined;
      this.lastRestoredAt = now;
      // A path that is still cut is found with the next request for its upstream.
      this.cutPaths.clear();
      this.unreached.clear();
    }
    metrics.gauge('entry.cut_off', isCutOff ? 1 : 0);
    onCutOffChanged();
  }

  private startProbing(): void {
    if (this.cancelProbing === undefined) {
      this.probe();
      this.cancelProbing = this.options.timers.every(
        () => PROBE_INTERVAL,
        () => {
          this.probe();
        },
      );
    }
  }

  private probe(): void {
    const { instances, random } = this.options;
    const candidates = instances().filter((instance) => this.isCut(instance));
    if (!this.isCutOff && this.cutPaths.size === 0) {
      this.cancelProbing?.();
      this.cancelProbing = undefined;
      return;
    }
    for (let count = 0; count < PROBES && candidates.length > 0; count += 1) {
      const [chosen] = candidates.splice(Math.floor(random.next() * candidates.length), 1);
      if (chosen !== undefined) {
        this.probeOne(chosen);
      }
    }
  }

  private probeOne({ identity, address }: instanceView.Instance): void {
    const wasCutOff = this.isCutOff;
    this.options.check(address, (result) => {
      const isAccepted = result === 'accepted';
      if (wasCutOff) {
        this.onCutOffProbe(isAccepted);
      } else if (this.cutPaths.has(identity)) {
        const accepted = isAccepted ? (this.cutPaths.get(identity) ?? 0) + 1 : 0;
        this.cutPaths.set(identity, accepted);
        if (accepted >= MINIMUM_ACCEPTED_PROBES) {
          this.cutPaths.delete(identity);
          this.options.log.info('upstreamReachedAgain', { upstream: identity });
        }
      }
    });
  }

  private onCutOffProbe(isAccepted: boolean): void {
    const { cutOffSince } = this;
    if (cutOffSince === undefined) {
      return;
    }
    this.acceptedInARow = isAccepted ? this.acceptedInARow + 1 : 0;
    const isVerifying = this.options.timers.now() - cutOffSince < VERIFICATION_TIME;
    const required = isVerifying ? this.requiredAccepts / MINIMUM_ACCEPTED_PROBES : this.requiredAccepts;
    if (this.acceptedInARow >= required) {
      this.setCutOff(false);
    }
  }
}
