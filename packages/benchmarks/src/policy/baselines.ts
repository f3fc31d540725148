/**
 * Baseline placement policies that the product's policy is compared with: round robin, least loaded and a single queue.
 */
import type * as kumquatfront from 'kumquatfront';

type Policy = kumquatfront.routingTypes.PlacementPolicy;
type Options = kumquatfront.localPlacement.LocalPlacementOptions;
type UpstreamRecord = kumquatfront.upstreamTable.UpstreamRecord;

const RETRY_AFTER = 1_000;

function refuse(done: (placement: kumquatfront.routingTypes.Placement) => void): () => void {
  done({ type: 'refused', refusal: { reason: 'noUpstream', retryAfter: RETRY_AFTER } });
  return () => undefined;
}

/** Upstreams that can take the request, by the same health checks as the product's policy. */
function usableUpstreams(
  options: Options,
  request: kumquatfront.routingTypes.PlacementRequest,
): readonly UpstreamRecord[] {
  const now = options.timers.now();
  return options.directory.table
    .candidates(request.upstreams)
    .filter(
      (candidate) =>
        candidate.expiresAt > now &&
        !request.exclude.has(candidate.announcement.name) &&
        !options.outlierDetector.isEjected(candidate.announcement.name, now),
    );
}

function createImmediatePolicy(
  select: (options: Options, candidates: readonly UpstreamRecord[]) => UpstreamRecord | undefined,
): (options: Options) => Policy {
  return (options) => ({
    place: (request, done) => {
      const upstream = select(options, usableUpstreams(options, request));
      if (upstream === undefined) {
        return refuse(done);
      }
      done({ type: 'granted', upstream });
      return () => undefined;
    },
    onProgress: () => undefined,
    onFinished: () => undefined,
    waitingCount: () => 0,
  });
}

/**
 * Creates a policy that sends each request to the next engine in turn.
 *
 * @param options - dependencies and settings of the policy
 * @returns the policy
 * @example
 * ```ts
 * entryNode.create(settings, ports, baselines.roundRobin);
 * ```
 */
export function roundRobin(options: Options): Policy {
  let position = Math.floor(options.random.next() * 1_000);
  return createImmediatePolicy(
    (_options, candidates) => candidates[(position += 1) % Math.max(1, candidates.length)],
  )(options);
}

function reportedLoad(record: UpstreamRecord): number {
  return (record.load?.running ?? 0) + (record.load?.waiting ?? 0);
}

/**
 * Creates a policy that sends each request to the engine with the lowest load in its last report.
 *
 * @param options - dependencies and settings of the policy
 * @returns the policy
 * @example
 * ```ts
 * entryNode.create(settings, ports, baselines.leastLoaded);
 * ```
 */
export function leastLoaded(options: Options): Policy {
  return createImmediatePolicy((_options, candidates) => {
    const minimumLoad = Math.min(...candidates.map(reportedLoad));
    return candidates.find((candidate) => reportedLoad(candidate) === minimumLoad);
  })(options);
}

/**
 * First-come, first-served queue: a request waits until an engine has a free slot by its last report and this entry's
 * dispatches since then.
 */
class SingleQueue implements Policy {
  private readonly options: Options;
  private readonly queue: {
    readonly request: kumquatfront.routingTypes.PlacementRequest;
    readonly done: (placement: kumquatfront.routingTypes.Placement) => void;
  }[] = [];
  private readonly dispatches = new Map<
    string,
    { readonly upstream: string; readonly dispatchedAt: number }
  >();

  constructor(options: Options) {
    this.options = options;
    options.timers.every(
      () => 50,
      () => {
        this.dispatchWaiting();
      },
    );
  }

  place(
    request: kumquatfront.routingTypes.PlacementRequest,
    done: (placement: kumquatfront.routingTypes.Placement) => void,
  ): () => void {
    const item = { request, done };
    this.queue.push(item);
    this.dispatchWaiting();
    return () => {
      const position = this.queue.indexOf(item);
      if (position >= 0) {
        this.queue.splice(position, 1);
      }
    };
  }

  private hasFreeSlot(record: UpstreamRecord): boolean {
    const dispatchedSinceReport = [...this.dispatches.values()].filter(
      (dispatch) =>
        dispatch.upstream === record.announcement.name && dispatch.dispatchedAt > record.loadReportedAt,
    ).length;
    return reportedLoad(record) + dispatchedSinceReport < record.announcement.slots;
  }

  private dispatchWaiting(): void {
    for (let head = this.queue[0]; head !== undefined; head = this.queue[0]) {
      const freeUpstream = usableUpstreams(this.options, head.request).find((record) =>
        this.hasFreeSlot(record),
      );
      if (freeUpstream === undefined) {
        return;
      }
      this.queue.shift();
      const upstream = freeUpstream.announcement.name;
      this.dispatches.set(head.request.requestId, { upstream, dispatchedAt: this.options.timers.now() });
      head.done({ type: 'granted', upstream: freeUpstream });
    }
  }

  onProgress(): void {
    // A generation holds its slot until it finishes; its progress has no effect.
  }

  onFinished(requestId: string): void {
    this.dispatches.delete(requestId);
    this.dispatchWaiting();
  }

  waitingCount(): number {
    return this.queue.length;
  }
}

/**
 * Creates a policy with one first-come, first-served queue per entry.
 *
 * @param options - dependencies and settings of the policy
 * @returns the policy
 * @example
 * ```ts
 * entryNode.create(settings, ports, baselines.singleQueue);
 * ```
 */
export function singleQueue(options: Options): Policy {
  return new SingleQueue(options);
}
