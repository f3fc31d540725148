/**
 * Load balancer that uses local state of the entry: its open requests, the loads that upstreams report with their
 * responses, and passive health checks; where paces of upstreams are known, also their predicted completion times.
 */
import type * as sendPolicy from '../backPressure/sendPolicy.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as outlierDetector from '../routing/outlierDetector.js';
import type * as upstreamPaces from '../upstreamPace/upstreamPaces.js';
import type * as types from './types.js';

/** Reported loads expire after this time; the count of open requests is then more accurate. */
const REPORTED_LOAD_TTL: ports.Milliseconds = 400;

/** Ejections are short because a restarted upstream gets a new identity. */
const HEALTH_SETTINGS: outlierDetector.OutlierDetectionSettings = {
  baseEjectionTime: 1_500,
  maximumEjectionTime: 8_000,
  consecutiveFailures: 2,
};

/** Share of a service's upstreams that is never ejected, even if more of them are unhealthy. */
const MINIMUM_ACTIVE_SHARE = 0.5;

/** Preference for the local data centre, in open requests; below one, so that it only breaks ties. */
const SAME_DATA_CENTRE_BONUS = 0.3;

interface ReportedLoad {
  readonly total: number;
  readonly at: ports.Milliseconds;
}

/** Dependencies of the load balancer. */
export interface LocalBalancerOptions {
  readonly random: ports.Random;
  readonly dataCentre: string;
  readonly sendPolicy: sendPolicy.SendPolicy;
  /** Paces of plain upstreams; undefined if the feature is disabled. */
  readonly paces?: upstreamPaces.UpstreamPaces;
}

/** Local load balancer; see the module comment. */
export class LocalBalancer {
  private readonly openRequests = new Map<string, number>();
  private readonly reportedLoads = new Map<string, ReportedLoad>();
  private readonly health = new outlierDetector.OutlierDetector(HEALTH_SETTINGS);
  private readonly options: LocalBalancerOptions;

  constructor(options: LocalBalancerOptions) {
    this.options = options;
  }

  /** Records the start of a request to an instance. */
  recordDispatch({ identity }: instanceView.Instance, now: number): void {
    this.openRequests.set(identity, (this.openRequests.get(identity) ?? 0) + 1);
    this.health.recordDispatch(identity, now);
  }

  /** Records the end of a request, whatever its outcome. */
  recordCompletion(identity: string): void {
    const remaining = (this.openRequests.get(identity) ?? 1) - 1;
    if (remaining <= 0) {
      this.openRequests.delete(identity);
    } else {
      this.openRequests.set(identity, remaining);
    }
  }

  /** Stores the load that an instance reported with a response. */
  recordReportedLoad(identity: string, load: NonNullable<types.ResponseHead['load']>, now: number): void {
    this.reportedLoads.set(identity, { total: load.running + load.waiting, at: now });
  }

  /** Records the time of a successful call to a plain upstream, with the load that its response reports. */
  recordAnswerTime(
    instance: instanceView.Instance,
    elapsed: ports.Milliseconds,
    load: types.ResponseHead['load'],
  ): void {
    this.options.paces?.recordAnswer(instance, elapsed, load);
  }

  /** Records a call to a plain upstream that was given up without a response, as after a hedge or a timeout. */
  recordGivenUp(instance: instanceView.Instance, elapsed: ports.Milliseconds): void {
    this.options.paces?.recordGivenUp(instance, elapsed);
  }

  /** Records a call that a plain upstream turned away, so that it does not look idle. */
  recordTurnedAway(instance: instanceView.Instance): void {
    this.options.paces?.recordTurnedAway(instance);
  }

  /** Records a successful request for the passive health check. */
  recordSuccess(identity: string): void {
    this.health.recordSuccess(identity);
  }

  /** Records a failed request for the passive health check. */
  recordFailure(identity: string, kind: outlierDetector.FailureKind, now: number): void {
    this.health.recordFailure(identity, kind, now);
  }

  /** Removes all state of an instance. */
  removeInstance(identity: string): void {
    this.openRequests.delete(identity);
    this.reportedLoads.delete(identity);
    this.health.removeUpstream(identity);
    this.options.paces?.removeInstance(identity);
  }

  /** Identities of ejected upstreams, limited to a share of the candidates. */
  ejectedOf(candidates: readonly instanceView.Instance[], now: number): readonly string[] {
    const ejected = candidates
      .filter((instance) => this.health.isEjected(instance.identity, now))
      .map((instance) => instance.identity);
    return ejected.slice(0, Math.floor(candidates.length * MINIMUM_ACTIVE_SHARE));
  }

  private effectiveLoadOf(instance: instanceView.Instance, now: number): number {
    const openCount = this.openRequests.get(instance.identity) ?? 0;
    const reported = this.reportedLoads.get(instance.identity);
    const load =
      reported !== undefined && now - reported.at < REPORTED_LOAD_TTL
        ? Math.max(openCount, reported.total)
        : openCount;
    const { random, dataCentre } = this.options;
    return load - (instance.dataCentre === dataCentre ? SAME_DATA_CENTRE_BONUS : 0) + random.next() * 0.1;
  }

  /**
   * Selects the least loaded healthy candidate that was not tried and is not excluded, of those whose predicted completion
   * time is near the least; falls back to ejected ones.
   */
  choose(
    candidates: readonly instanceView.Instance[],
    tried: ReadonlySet<string>,
    now: number,
  ): instanceView.Instance | undefined {
    const ejected = new Set(this.ejectedOf(candidates, now));
    const { sendPolicy: policy, paces } = this.options;
    const untried = candidates.filter(
      (instance) => !tried.has(instance.identity) && policy.exclusionFromChoice(instance, now) === undefined,
    );
    const healthy = untried.filter((instance) => !ejected.has(instance.identity));
    const pool = healthy.length > 0 ? healthy : untried;
    const openCountOf = (identity: string): number => this.openRequests.get(identity) ?? 0;
    const near = paces?.nearLeast(pool, openCountOf, tried.size === 0) ?? pool;
    let best: instanceView.Instance | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (const instance of near) {
      const load = this.effectiveLoadOf(instance, now);
      if (load < bestLoad) {
        best = instance;
        bestLoad = load;
      }
    }
    return best;
  }
}
